Feature: Connections to replicas
  Scenario Outline: A connection that went silent is given up, however short the calls on it are
    Given a replica whose first connection says nothing while later ones answer
    When it is called again and again, each call waiting <wait> milliseconds
    Then a call is answered within 2000 milliseconds

    Examples:
      | wait |
      | 250  |
      | 1000 |

  Scenario: A connection on which replies come is kept
    Given a replica that answers on all connections
    When it is called again and again, each call waiting 250 milliseconds
    Then a call is answered within 2000 milliseconds
    And 5000 milliseconds of calls use 1 connection
