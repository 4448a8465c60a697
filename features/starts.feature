Feature: Processes go on with their start whatever they meet

  # Guards against a process that a signal ends while it starts, before its handlers are registered.
  Scenario Outline: A <role> that gets SIGHUP while it reads its <moment> starts, and reloads
    Given a <role> that waits for its <moment>
    When it gets SIGHUP, and then its <moment>
    Then it starts, and reloads its settings because of the signal

    Examples:
      | role    | moment   |
      | gateway | code     |
      | gateway | settings |
      | replica | code     |
      | replica | settings |

  # Guards against a stop that counts as a failure since it came while the process started.
  Scenario Outline: A <role> that gets SIGTERM while it reads its <moment> ends as planned
    Given a <role> that waits for its <moment>
    When it gets SIGTERM, and then its <moment>
    Then it ends with status 0 before it has started

    Examples:
      | role    | moment   |
      | gateway | code     |
      | gateway | settings |
      | replica | code     |
      | replica | settings |

  # Guards against a process that ends since another one, as its own predecessor, still holds an address.
  Scenario Outline: A <role> whose address for <purpose> is held starts, and serves once the address is free
    Given a <role> whose address for <purpose> is held
    When it has tried 2 times to listen for <purpose>
    Then it isn't ready
    When the address is free
    Then it listens for <purpose>, and is ready if it is a gateway

    Examples:
      | role    | purpose   |
      | gateway | clients   |
      | gateway | readiness |
      | gateway | exchange  |
      | gateway | metrics   |
      | gateway | gossip    |
      | gateway | proofs    |
      | replica | calls     |
      | replica | metrics   |

  # Guards against a process that can't be stopped in order while it waits for an address.
  Scenario Outline: A <role> that waits for its address for <purpose> can be stopped
    Given a <role> whose address for <purpose> is held
    When it has tried 2 times to listen for <purpose>
    And it gets SIGTERM
    Then it ends with status 0

    Examples:
      | role    | purpose |
      | gateway | clients |
      | gateway | metrics |
      | replica | calls   |
      | replica | metrics |

  # Guards against a process that lives without an address that it can never get.
  Scenario Outline: A gateway whose port for <purpose> doesn't exist ends with an error that names it
    Given a gateway whose port for <purpose> doesn't exist
    Then it ends with status 1, and an error that names the address for <purpose>

    Examples:
      | purpose   |
      | clients   |
      | readiness |
      | exchange  |
      | metrics   |

  Scenario: Attempts to listen come less and less often, and few of them are logged
    Given an address that is in use for 1000 attempts
    Then the pauses double from 50 ms to 1000 ms, 10 attempts are logged, and the server listens

  # Guards against a process that ends since its settings file is just being replaced.
  Scenario Outline: A <role> whose settings file is <state> as it starts waits for it
    Given a <role> whose settings file is <state>
    When it has found that, and the file is complete
    Then it starts

    Examples:
      | role    | state        |
      | gateway | half written |
      | gateway | missing      |
      | replica | half written |
      | replica | missing      |

  Scenario Outline: A process whose settings file stays <state> ends with an error
    Given a gateway whose settings file is <state>
    Then it ends with status 2 and the error "<error>"

    Examples:
      | state        | error  |
      | half written | JSON   |
      | missing      | ENOENT |

  # Guards against settings that are never applied, since the file was read when it was half written at the same moment.
  Scenario: A settings file that is completed without a new modification time is applied
    Given a gateway that has started
    When its settings file is half written, and SIGHUP makes it read that
    And the file is completed with the same modification time
    Then the settings are reloaded because of the file
