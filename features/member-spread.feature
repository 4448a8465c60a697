Feature: Members are spread over zones and regions so that a majority survives the tolerated losses
  Scenario Outline: The smallest membership that tolerates the losses
    Given a fleet with <replicas> replicas by zone
    When <machines> machines, or <zones> zones, or <regions> regions may be lost
    Then the best spread has <members> members by zone and lacks <shortfall>

    Examples:
      | replicas      | machines | zones | regions | members       | shortfall |
      | "4 3 3"       | 2        | 1     | 0       | "2 2 1"       | 0         |
      | "9 9 9"       | 1        | 1     | 0       | "1 1 1"       | 0         |
      | "5 5 5 5 5"   | 3        | 2     | 0       | "2 2 2 2 1"   | 0         |
      | "2 2 2 2 1 1" | 2        | 0     | 0       | "2 2 1 0 0 0" | 0         |
      | "5 5"         | 2        | 1     | 0       | "3 2"         | 1         |
      | "10 1 1"      | 2        | 1     | 0       | "3 1 1"       | 1         |
      | "3"           | 2        | 1     | 0       | "3"           | 2         |

  Scenario: A spread without shortfall keeps a majority after any tolerated loss
    Then in any fleet of 1 to 15 zones, a spread without shortfall keeps a majority after any tolerated loss

  Scenario: No spread of the same fleet does better with as few members
    Then in any small fleet, no spread has a smaller shortfall, or the same with fewer members

  # Otherwise replicas would join and leave forever, each time with a copy of the state.
  Scenario: Joining and leaving ends with the best spread, and never tolerates less on the way
    Then in any fleet, joins and departures end
    And a full record that tolerated the losses never stops doing so where each zone has replicas to spare
    And they end with a spread that tolerates the losses, if there is one, and with one zone or region to lose at the target size
    And replicas that join in the order of their ranks reach such a spread without departures

  Scenario: Without zones or regions in the tolerance the target number stays as it was
    Then without zones or regions in the tolerance, the wanted spread has as many members as the losses of machines require
