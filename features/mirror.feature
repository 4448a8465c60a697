Feature: Mirror of the store's keys
  Scenario: Changes arrive, and an item never goes back to an older revision
    Given a mirror of a store with keys "a b"
    When "a" is changed, "b" is removed and an older "a" is offered
    Then the mirror has the newest "a" and no "b"

  Scenario: A stalled watch is made up for by stale lists
    Given a mirror of a store with keys "a b"
    When the store's watches stall and "a" is changed
    Then the mirror has the newest "a" within 2000 milliseconds

  Scenario: A stalled watch is detected when a peer knows a newer revision
    Given a mirror of a store with keys "a b"
    When stale lists fall behind
    And the store's watches stall and "a" is changed
    And a peer knows a change of "a"
    Then the mirror has the newest "a" within 500 milliseconds

  Scenario: A stale list does not revert newer items
    Given a mirror of a store with keys "a b"
    When stale lists fall behind
    And "a" is changed, "b" is removed and an older "a" is offered
    Then the mirror has the newest "a" within 3000 milliseconds
    And the mirror has the newest "a" and no "b"

  Scenario: A stale list older than a complete list does not restore removed items
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

  Scenario: An unreachable store changes nothing, and is followed again when it returns
    Given a mirror of a store with keys "a b"
    When the store is unreachable for 5000 milliseconds while "a" is changed
    Then the mirror reported the store unreachable once and reachable again once
    And the mirror has the newest "a" within 2000 milliseconds

  Scenario Outline: A call without an answer does not delay the mirror once the store answers again
    Given a mirror of a store with keys "a b" whose watches wait 10000 milliseconds
    When the store does not answer for <silence> milliseconds and "a" is changed when it answers again
    Then the mirror has the newest "a" within 1500 milliseconds

    Examples:
      | silence |
      | 4000    |
      | 5000    |
      | 12000   |

  Scenario: A store that refuses calls is called less and less often
    Given a mirror of a store with keys "a b"
    When the store refuses calls for 10000 milliseconds
    Then it was called at most 30 times meanwhile

  Scenario: Items from peers are applied only if they are newer
    Given a mirror of a store with keys "a b"
    When peers offer "a" at revision 1 and "z" at revision 9
    Then the mirror has the keys "a b z"
    And the mirror has the newest "a"

  Scenario: Copies that receive changes only through peers converge to the store
    Then copies that exchange changes, in any order and with losses, converge to the store

  Scenario: A revision overstated by a peer is corrected by the next stale list
    Given a mirror of a store with keys "a b"
    When the mirror stops following and a peer claims to have all changes up to revision 900
    Then within 8000 milliseconds it asks for changes after revision 3

  Scenario: A mirror that does not follow the store hardly calls it
    Given a mirror of a store with keys "a b"
    When the mirror does not follow the store for 20000 milliseconds
    Then it was called at most 5 times meanwhile
    When the mirror follows again and "a" is changed
    Then the mirror has the newest "a" within 500 milliseconds
