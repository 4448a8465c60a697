Feature: The checks of the fault soak
  Scenario Outline: A client of the soak notices a promise that is broken
    Given a gateway that lies: "<lie>"
    When clients of the soak work with it for 600 milliseconds
    Then they tell of "<promise>" and of nothing else

    Examples:
      | lie             | promise      |
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

  Scenario Outline: The check of the configuration notices a promise that is broken
    Given a gateway that lies: "<lie>"
    And a change that added a route and dropped <dropped> others, acknowledged <age> milliseconds ago
    When its configuration is looked at for 600 milliseconds while it is <touch>
    Then they tell of "<promise>" and of nothing else

    Examples:
      | lie           | dropped | age  | touch        | promise       |
      | nothing       | 0       | 2500 | in touch     |               |
      | nothing       | 1       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 2500 | in touch     | configuration |
      | forgetsRoutes | 0       | 500  | in touch     |               |
      | forgetsRoutes | 0       | 2500 | out of touch |               |

  Scenario Outline: A route that a change acknowledged since has dropped is not owed
    Given a gateway that lies: "forgetsRoutes"
    And a change that added a route and dropped 0 others, acknowledged 2500 milliseconds ago
    And a change acknowledged 500 milliseconds ago that <drops> that route
    When its configuration is looked at for 600 milliseconds while it is in touch
    Then they tell of "<promise>" and of nothing else

    Examples:
      | drops | promise       |
      | drops |               |
      | keeps | configuration |

  Scenario Outline: The check of tenants notices a promise that is broken
    Given a gateway that lies: "<lie>"
    When its tenants are looked at for 3500 milliseconds with a key that was taken away <age> milliseconds ago
    Then they tell of "<promise>" and of nothing else

    Examples:
      | lie           | age  | promise        |
      | nothing       | 4500 |                |
      | servesOldKeys | 4500 | key taken away |
      | ignoresLimit  | 4500 | limit          |

  Scenario: A soak in which no slow reader is ever served whole fails
    Then a soak of 30 long streams fails where 0 came whole
    And a soak of 30 long streams passes where 1 came whole
    And a soak of 3 long streams passes where 0 came whole
