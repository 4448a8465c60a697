# Seen: read in the code: everything believed of a runner was held by its id, and a runner may start again under it.
# Cause: what it kept, its places taken and its failures were believed of the new life, which knows nothing of them.
Feature: Runners that start again under their id
  Scenario Outline: Nothing believed of an earlier life is believed of a later one
    Given a runner "a" born at 1000 of which <belief> is believed
    When its entry tells that it was born at 2000
    Then nothing of that is believed of it

    Examples:
      | belief                      |
      | that it keeps a prompt      |
      | that it has requests        |
      | that others have requests   |
      | that it can not be reached  |
      | that others say it keeps it |
      | that it is about to lapse   |

  Scenario: Word of an earlier life that comes late changes nothing
    Given a runner "a" born at 2000 of which that it keeps a prompt is believed
    When its entry tells that it was born at 1000 at another address
    Then it is still the life born at 2000, with all that is believed of it

  Scenario: An entry that no longer tells its start is of the same life
    Given a runner "a" born at 2000 of which that it keeps a prompt is believed
    When its entry no longer tells when it was born
    Then it is still the life born at 2000, with all that is believed of it

  Scenario: A request that was refused by an earlier life may go to the later one
    Given a runner "a" born at 1000 of which that it has requests is believed
    When its entry tells that it was born at 2000
    Then a request that the earlier life refused may be sent to it, and what ends at the earlier one changes nothing

  Scenario: In whatever order entries of several lives come, the latest life is used
    Then of any entries of lives in any order the latest is used, with nothing of the others

  Scenario Outline: An entry whose start is no whole number is refused
    When the entry of a runner reads {"Service":"s","Address":"10.0.0.1:80","State":"ready","born":<born>}
    Then that entry is refused

    Examples:
      | born  |
      | 0.5   |
      | "1"   |
      | null  |
      | 1e300 |
