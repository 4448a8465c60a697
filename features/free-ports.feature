Feature: Free ports

  # Guards against a client that reaches another listener of the test, which took the port of a gateway before the gateway listened.
  Scenario: Ports found free are none that the system gives to other sockets
    Given a server that holds the next free port
    When 50 free ports are looked for, three times
    Then all are distinct, and none is held or in the range from which the system chooses ports
