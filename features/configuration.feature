Feature: Propagation of the configuration
  Scenario: Changes since a revision lead to the same configuration as a full transfer
    Then for any edits, the changes since any kept revision lead to the newest configuration

  Scenario: Encoding of messages
    Then any bytes decode to a message or to a clear error
    And any message of a call survives encoding
