# Seen: read in the code: an entry of another writer, with a service that is named and an address that is none, was taken
#   for a runner; the first request to it threw where nothing catches, and every gateway that knew the entry ended.
# Cause: an address was split at its last colon, and what came out of that was believed.
Feature: Entries of runners that come from other writers
  Scenario Outline: An entry that names no runner is refused
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

  Scenario: Whatever an entry reads, it is refused or names an address and places
    Then any drawn entry is refused or names an address and places

  Scenario: An entry that no longer names a runner takes it out of use, and the others hold
    Given gateways know the runners "a" and "b"
    When the entry of "a" is written over with bytes that can't be read, 50 times
    Then only "b" is in use
    And one line tells of it
    When the entry of "a" is written as before
    Then "a" and "b" are in use

  Scenario: Very many and very long entries of strangers are told in a bounded number of short lines
    Given gateways know the runners "a" and "b"
    When 2000 entries of strangers are written, each 100000 signs long, twice
    Then "a" and "b" are in use
    And at most 1001 lines of at most 400 signs tell of them
