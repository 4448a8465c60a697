# Seen: found by reading the code: an entry of another writer with a valid service and an invalid address was accepted
#   as a runner; the first request to it threw an uncaught exception, which ended every gateway that knew the entry.
# Cause: the address was split at its last colon, and the host and the port were not validated.
Feature: Entries of runners that come from other writers
  Scenario Outline: An entry that describes no valid runner is refused
    When the entry of a runner reads <entry>
    Then that entry is refused

    Examples:
      | entry                                                               |
      | {"Service":"s","Address":"x","State":"ready"}                       |
      | {"Service":"s","Address":":80","State":"ready"}                     |
      | {"Service":"s","Address":"10.0.0.1:","State":"ready"}               |
      | {"Service":"s","Address":"10.0.0.1:99999","State":"ready"}          |
      | {"Service":"s","Address":"10.0.0.1:0","State":"ready"}              |
      | {"Service":"s","Address":"10.0.0.1:8e1","State":"ready"}            |
      | {"Service":"s","Address":"a/b?c:80","State":"ready"}                |
      | {"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":-3}  |
      | {"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":0.5} |
      | {"Service":"s","Address":"10.0.0.1:80","State":"asleep"}            |
      | {"Service":7,"Address":"10.0.0.1:80","State":"ready"}               |
      | {"Address":"10.0.0.1:80","State":"ready"}                           |
      | []                                                                  |
      | {                                                                   |

  Scenario: Any generated entry is refused or has a valid address and slots
    Then any generated entry is refused or has a valid address and slots

  Scenario: An entry that becomes invalid takes its runner out of use, and other runners stay in use
    Given gateways know the runners "a" and "b"
    When the entry of "a" is overwritten 50 times with bytes that can't be decoded
    Then only "b" is in use
    And one log line reports it
    When the entry of "a" is restored
    Then "a" and "b" are in use

  Scenario: Many long entries of other writers are reported in a bounded number of short log lines
    Given gateways know the runners "a" and "b"
    When 2000 invalid entries of 100000 characters each are written twice
    Then "a" and "b" are in use
    And at most 1001 log lines of at most 400 characters report them
