Feature: Invariants of seeded histories under faults
  Seeded programs and operators run against the production node code in virtual time, under faults.
  Independent checkers read what callers and back ends observed.

  Scenario Outline: No invariant is violated from seed <first> to <last>
    When histories run from seed <first> to <last>
    Then no invariant is violated
    And at least <kinds> kinds of faults occurred

    Examples:
      | first | last | kinds |
      | 1     | 40   | 15    |
      | 650   | 670  | 12    |

  Scenario: A history replays exactly from its seed
    When histories run from seed 7 to 9
    And histories run from seed 7 to 9
    Then both runs recorded the same

  Scenario Outline: The checker of "<condition>" detects an injected violation
    Given the record of a run without violations
    When it is changed by "<change>"
    Then the checker of "<condition>" reports a violation

    Examples:
      | condition        | change                                  |
      | order            | an execution out of order               |
      | history          | a lost turn                             |
      | history          | a message of another program            |
      | history          | a history that cannot be read           |
      | budget           | a grant beyond the budget               |
      | budget           | an answer that was not paid             |
      | memory           | a hold of an ended program              |
      | answer           | crossed answers                         |
      | answer           | a stream with a gap                     |
      | not-run          | a refused call that ran                 |
      | at-most-once     | a second run                            |
      | leaving-back-end | work for a leaving back end             |
      | planned-stop     | a call cut by a planned stop            |
      | configuration    | a revision that falls                   |
      | configuration    | a change that never comes into force    |
