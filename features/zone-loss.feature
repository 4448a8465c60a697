Feature: Members keep their spread over zones through losses, retirements and upgrades
  Background:
    Given ten replicas over zones of 4, 3 and 3, of which two machines or one zone may be lost

  Scenario: As few members as the tolerance requires, spread over the zones
    When all of them start
    Then within 8000 milliseconds the members by zone are "2 2 1"

  # Every replica that joins copies the state, and each member beyond those needed adds an acknowledgement to writes.
  Scenario: While a zone is away, the others get no more members than the tolerance of machines needs
    When all of them start
    And 10000 milliseconds pass at the members
    And the zone with the first member is lost
    Then within 6000 milliseconds the members by zone are "3 2"
    When 30000 milliseconds pass at the members
    Then the members by zone are "3 2", unchanged for 20000 milliseconds
    When the lost zone returns
    Then within 6000 milliseconds the members by zone are "2 2 1"
    When 30000 milliseconds pass at the members
    Then the members by zone are "2 2 1", unchanged for 20000 milliseconds

  Scenario: A zone that is cut off for less than the removal takes changes no member
    When all of them start
    And 10000 milliseconds pass at the members
    And the zone with the first member is cut off for 2000 milliseconds
    And 30000 milliseconds pass at the members
    Then the members by zone are "2 2 1", unchanged for 30000 milliseconds

  Scenario: The successor of a retired member joins before the member leaves
    When all of them start
    And 10000 milliseconds pass at the members
    And a member is to be retired
    Then within 6000 milliseconds its retirement is finished, with never fewer than 5 members
    And the members by zone are "2 2 1"

  # An older build wants every replica as a member and never leaves the record.
  Scenario: A record of ten members shrinks to five while one replica remains of an older build
    When all of them start with a build that makes every replica a member
    And 10000 milliseconds pass at the members
    Then the members by zone are "4 3 3"
    When turns are stored while all but one are upgraded one by one
    And 30000 milliseconds pass at the members
    Then the members by zone are "2 2 1", unchanged for 20000 milliseconds
    And all stored turns are found

  Scenario Outline: Histories in which zones are lost or cut off violate no guarantee, and end with the best spread
    When turn histories run from seed <first> to <last> with 10 replicas in 3 zones, of which 1 zone or 2 machines may be lost<build>
    Then no turn history violates a guarantee
    And turns were stored, and reservations were granted and refused
    And zones were lost and cut off

    Examples:
      | first | last | build                 |
      | 1     | 10   |                       |
      | 1     | 20   | , after an older build |
      | 1001  | 1010 | , after an older build |

  Scenario: Days with a lost zone that end with a loss of all power violate no invariant
    When power loss scenarios with 10 replicas in 3 zones, of which 1 zone or 2 machines may be lost, run from seed 1 to 10
    Then no power loss scenario violates an invariant
    And turns were stored in each power loss scenario
