Feature: A copy of the store's keys
  Scenario: Changes arrive, and an item never goes back to an older revision
    Given a mirror of a store with keys "a b"
    When "a" is changed, "b" is removed and an older "a" is offered
    Then the mirror has the newest "a" and no "b"

  Scenario: A watch that says nothing is overtaken by a read of the key that matters
    Given a mirror of a store with keys "a b"
    When the store's watches fall silent and "a" is changed
    Then the mirror has the newest "a" within 2000 milliseconds

  Scenario: A watch that says nothing is overtaken by what a peer knows
    Given a mirror of a store with keys "a b"
    When stale lists fall behind
    And the store's watches fall silent and "a" is changed
    And a peer knows a change of "a"
    Then the mirror has the newest "a" within 500 milliseconds

  Scenario: A stale list takes nothing back
    Given a mirror of a store with keys "a b"
    When stale lists fall behind
    And "a" is changed, "b" is removed and an older "a" is offered
    Then the mirror has the newest "a" within 3000 milliseconds
    And the mirror has the newest "a" and no "b"

  Scenario: A stale list from before a whole list brings nothing back
    Given a mirror of a store with keys "a b"
    When stale lists fall behind
    And "a" is changed, "b" is removed and an older "a" is offered
    And the store forgets its history while "b" is removed and "c" is added
    Then the mirror has the newest "a" within 3000 milliseconds
    And the mirror has the newest "a" and no "b"

  Scenario: A lost history leads to a new list
    Given a mirror of a store with keys "a b"
    When the store forgets its history while "b" is removed and "c" is added
    Then the mirror has the keys "a c"

  Scenario: A store that is out of reach changes nothing, and is followed again
    Given a mirror of a store with keys "a b"
    When the store is out of reach for 5000 milliseconds while "a" is changed
    Then the mirror was told once that it is out of reach and once that it is back
    And the mirror has the newest "a" within 2000 milliseconds

  Scenario Outline: A call sent into a silence is not waited for once the store answers again
    Given a mirror of a store with keys "a b" whose watches wait 10000 milliseconds
    When the store says nothing for <silence> milliseconds and "a" is changed as it answers again
    Then the mirror has the newest "a" within 1500 milliseconds

    Examples:
      | silence |
      | 4000    |
      | 5000    |
      | 12000   |

  Scenario: A store that refuses is asked less and less often
    Given a mirror of a store with keys "a b"
    When the store refuses for 10000 milliseconds
    Then it was asked at most 30 times meanwhile

  Scenario: What peers tell counts only when it is newer
    Given a mirror of a store with keys "a b"
    When peers offer "a" at revision 1 and "z" at revision 9
    Then the mirror has the keys "a b z"
    And the mirror has the newest "a"

  Scenario: A copy that hears of changes through peers alone comes to what the store has
    Then copies that take changes from one another, in any order and with losses, agree with the store

  Scenario: A peer's wrong word for the revision is healed by the next cheap list
    Given a mirror of a store with keys "a b"
    When the mirror rests and a peer says that nothing is missing up to revision 900
    Then within 8000 milliseconds it asks for changes after revision 3

  Scenario: A resting mirror asks the store almost nothing
    Given a mirror of a store with keys "a b"
    When the mirror rests for 20000 milliseconds
    Then it was asked at most 5 times meanwhile
    When the mirror follows again and "a" is changed
    Then the mirror has the newest "a" within 500 milliseconds
