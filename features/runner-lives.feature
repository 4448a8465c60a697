# Found in review: all state of a runner was kept by its id, and a runner may restart under the same id. Its cached
# prompts, requests in flight and failures were then attributed to the new incarnation, which has none of them.
Feature: Runners that restart under their id
  Scenario Outline: No state of an earlier incarnation carries over to a later one
    Given a runner "a" born at 1000 of which <state> is believed
    When its entry reports a start at 2000
    Then none of that state is attributed to it

    Examples:
      | state                                             |
      | that it has a prompt cached                       |
      | that it has requests in flight                    |
      | that other gateways have requests in flight there |
      | that it is unreachable                            |
      | that peers reported a cached prompt               |
      | that its removal is scheduled                     |

  Scenario: A late entry of an earlier incarnation changes nothing
    Given a runner "a" born at 2000 of which that it has a prompt cached is believed
    When its entry reports a start at 1000 at another address
    Then it is still the incarnation started at 2000, with all of its state

  Scenario: An entry without a start time belongs to the same incarnation
    Given a runner "a" born at 2000 of which that it has a prompt cached is believed
    When its entry no longer reports a start time
    Then it is still the incarnation started at 2000, with all of its state

  Scenario: A request refused by an earlier incarnation may be sent to the later one
    Given a runner "a" born at 1000 of which that it has requests in flight is believed
    When its entry reports a start at 2000
    Then a request that the earlier incarnation refused may be sent to it, and requests that end at the earlier one change nothing

  Scenario: In whatever order the entries of several incarnations come, the latest is used
    Then of the entries of several incarnations in any order the latest is used, with no state of the others

  Scenario Outline: An entry whose start time is not an integer is refused
    When the entry of a runner reads {"Service":"s","Address":"10.0.0.1:80","State":"ready","born":<born>}
    Then that entry is refused

    Examples:
      | born  |
      | 0.5   |
      | "1"   |
      | null  |
      | 1e300 |
