Feature: Replicas that come back
  Scenario: A replica whose disk lost its newest entries catches up
    Given a simulated cluster of three nodes with 20 programs
    When a follower dies, loses its 5 newest entries and starts again
    And 10 programs are opened and 4 seconds pass
    Then every replica has the same 30 programs
    And fewer than 2000 messages a second were sent

  Scenario: A replica that is far behind is sent a snapshot
    Given a simulated cluster of three nodes with 20 programs
    When node 2 dies
    And 5000 programs are opened and 8 seconds pass
    And node 2 starts again
    And 1 programs are opened and 8 seconds pass
    Then every replica has the same 5021 programs

  Scenario: A whole cluster comes back from its disks
    Given a simulated cluster of three nodes with 20 programs
    When every node dies and starts again
    And 5 programs are opened and 5 seconds pass
    Then every replica has the same 25 programs

  Scenario Outline: Programs are served when a node dies for good
    Given a simulated cluster of three nodes that serves a model
    When node <node> dies
    And 24 programs each ask once at the other nodes
    Then every one of them is answered within 8 seconds

    Examples:
      | node |
      | 1    |
      | 2    |
      | 3    |
