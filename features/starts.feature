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
