Feature: The checks of the fault soak
  Scenario Outline: A client of the soak detects a violated promise
    Given a gateway with the fault "<fault>"
    When clients of the soak send it requests for 600 milliseconds
    Then the promises reported as violated are "<promise>"

    Examples:
      | fault           | promise      |
      | nothing         |              |
      | foreignAnswer   | own answer   |
      | endsEarly       | whole answer |
      | skipsEvent      | whole answer |
      | runsTwice       | at most once |
      | refusesAfterRun | not run      |
      | ignoresBudget   | budget       |
      | forgetsTurns    | history      |
      | mixesChains     | history      |
      | namesAnother    | tenant       |
      | passesKey       | tenant       |

  Scenario Outline: The check of the configuration detects a violated promise
    Given a gateway with the fault "<fault>"
    And a change that added a route and dropped <dropped> others, acknowledged <age> milliseconds ago
    When its configuration is looked at for 600 milliseconds while it is <touch>
    Then the promises reported as violated are "<promise>"

    Examples:
      | fault         | dropped | age  | touch        | promise       |
      | nothing       | 0       | 2500 | in touch     |               |
      | nothing       | 1       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 500  | in touch     |               |
      | forgetsRoutes | 0       | 2500 | out of touch |               |

  Scenario Outline: A route that a later acknowledged change has dropped need not be served
    Given a gateway with the fault "forgetsRoutes"
    And a change that added a route and dropped 0 others, acknowledged 2500 milliseconds ago
    And a change acknowledged 500 milliseconds ago that <drops> that route
    When its configuration is looked at for 600 milliseconds while it is in touch
    Then the promises reported as violated are "<promise>"

    Examples:
      | drops | promise       |
      | drops |               |
      | keeps | configuration |

  Scenario Outline: The check of tenants detects a violated promise
    Given a gateway with the fault "<fault>"
    When its tenants are checked for 3500 milliseconds with a key that was revoked <age> milliseconds ago
    Then the promises reported as violated are "<promise>"

    Examples:
      | fault         | age  | promise        |
      | nothing       | 4500 |                |
      | servesOldKeys | 4500 | key taken away |
      | ignoresLimit  | 4500 | limit          |

  Scenario: A soak in which no slow reader gets a complete stream fails
    Then a soak of 30 long streams fails if 0 were complete
    And a soak of 30 long streams passes if 1 were complete
    And a soak of 3 long streams passes if 0 were complete
