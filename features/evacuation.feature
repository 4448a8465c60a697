Feature: Evacuated zones
  While a zone is evacuated, no request is sent to a runner there, and requests that can't run elsewhere are refused.

  Scenario: An evacuation is in force once its item is applied, and is lifted once the item is removed
    Given a gateway in a deployment with the zones "z1 z2 z3"
    When the zone "z2" is evacuated in the store
    Then only runners of the zones "z1 z3" may get requests
    And the log reports the events "zone.evacuated"
    When the evacuation of "z2" is removed while entries of runners have a grace period
    Then only runners of the zones "z1 z2 z3" may get requests
    And the log reports the events "zone.evacuated zone.restored"

  Scenario Outline: An evacuation of a zone that does not exist is reported once and has no other effect
    Given a gateway in a deployment with the zones "z1 z2 z3"
    When the zone "<zone>" is evacuated in the store
    And the zone "<zone>" is evacuated in the store
    Then only runners of the zones "z1 z2 z3" may get requests
    And the log reports the events "item.refused"

    Examples:
      | zone |
      | z4   |
      |      |

  Scenario: Lists, snapshots and items that arrive late neither lift an evacuation nor reinstate one
    Then whatever a copy receives late, partly or twice, it never returns to an older state of an evacuation
