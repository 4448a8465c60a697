Feature: Turns whose clients resume them
  A turn that is answered whole is stored with all that its client received, whichever requests and gateways it came through.

  Background:
    Given 3 gateways, and runners of the software version "v1" in one service

  # Guards against a turn that is stored with only the events that came after its client resumed it.
  Scenario Outline: A turn that is resumed is stored whole
    When 4 clients receive <events> events of turns of their own, <end>, and resume them <how> at gateway <gateway>
    Then each turn was received whole, in <tries> tries
    And the next turn of each gets the whole output at gateway 3

    Examples:
      | events | end                        | how                     | gateway | tries |
      | 2      | leave                      | by name                 | 2       | 2     |
      | 2      | leave                      | without a name          | 2       | 2     |
      | 2      | leave                      | by name                 | 1       | 2     |
      | 5      | lose their gateway         | by name                 | 2       | 2     |
      | 2      | lose their gateway         | without a name          | 2       | 2     |
      | 6      | lose their gateway         | by name                 | 2       | 2     |
      | 2      | leave                      | twice by name           | 2       | 3     |

  # Guards against a turn in the middle of a conversation that is stored in part.
  Scenario: Turns that continue a resumed turn, and are resumed themselves, get all output before them
    When a client resumes each of 3 turns of a conversation at the next gateway
    Then the next turn gets the output of all 3 turns

  # Guards against a resumption that runs although what its client received is not known.
  Scenario Outline: A resumption after an event that was never sent is refused before it runs
    When 2 clients receive 2 events of turns of their own, leave, and resume them after event "<event>"
    Then every resumption is refused as not run, without a time to return
    And no runner ran a resumption

    Examples:
      | event |
      | 99    |
      | x     |

  Scenario: A resumption whose records are lost is refused before it runs
    When 2 clients receive 2 events of turns of their own, all gateways and replicas restart, and they resume at a new gateway
    Then every resumption is refused as not run
    And no runner ran a resumption

  # Guards against a turn that is stored in part since its client asked for the rest of it on a route that can't be resumed.
  Scenario: A turn of a route that can't be resumed is sent and stored from its start
    When a client asks for a turn of a route that can't be resumed after event 2
    Then it receives the turn from its start, and the next turn gets the whole output

  # Guards against two resumptions at the same time whose events are taken for one another's.
  Scenario: Two resumptions of one turn at the same time are stored whole
    When a client leaves a turn after 2 events and resumes it at gateways 2 and 3 at the same time
    Then both resumptions bring the rest, and the next turn of each gets the whole output

  Scenario: What is recorded of a turn is the same in any order, up to where two runs differ
    Then parts of a stream give its output up to each event, and after events that differ none
    And parts beyond the memory drop the streams that changed least recently
