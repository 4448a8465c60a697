Feature: Several regions

  Scenario: A distance is the lowest round trip measured lately, and an initial value without one
    Given zones "a1 a2 b1" in regions "a a b", seen from "a1"
    Then the round trips to "a1 a2 b1" are "1 3 25" ms
    When round trips to "b1" of "31 24 90" ms are measured
    Then the round trips to "a1 a2 b1" are "1 3 24" ms
    When 70 seconds pass between regions
    Then the round trips to "a1 a2 b1" are "1 3 25" ms

  Scenario: A near zone stays the nearest while its answers are late
    Given zones "a1 a2 b1" in regions "a a b", seen from "a1"
    When round trips to "a1" of "60" ms are measured
    Then the zones "b1 a2 a1" are ordered "a1 a2 b1" by distance

  Scenario: In one region nothing is reordered or delayed
    Given zones "a1 a2" in regions "a a", seen from "a1"
    When round trips to "a2" of "31" ms are measured
    Then the zones "a2 a1" are ordered "a2 a1" by distance
    And no delay is added for any zone

  Scenario: Requests to members stay near where members are near
    Given members in zones "a1 b1 b2 b1 c1" of three regions
    Then gateways of region "b" wait "0.4 7.8 7.8" ms for a chain, a reservation and a stored turn
    And gateways of region "c" wait "1.6 29 29" ms for a chain, a reservation and a stored turn
    And without the regions gateways of region "b" wait longer for each
    And no region waits longer than the round trip of 24 ms to the tenant's home for a quota

  Scenario: Members of another region are given the round trip before others are asked as well
    Given members in zones "b1 b2 c1" whose answers take 50 ms
    When a gateway in "a1" reads a chain and asks for a quota
    Then each was asked of one member

  Scenario: Gossip between regions is a small part of what it is without regions, and all learn what they need
    Given 67 gateways in 3 regions of 2 zones with 33 runners
    Then they send at most 14000 bytes a second between regions, less than a twentieth of what they send without regions
    And each knows the load of all others within 1500 ms of a change
    And a place of a prompt is known in its region within 500 ms, and in no other
    And a change of the store is known to all within 1200 ms, fetched from gateways of the own region

  Scenario: A region that is cut off goes on alone, and its load is known again after that
    Given 67 gateways in 3 regions of 2 zones with 33 runners
    Then each gateway counts gateways of 3 regions
    When the regions are cut off from each other for 6000 ms
    Then each gateway counts gateways of 1 region
    And a change of the store is known to all within 1200 ms
    When the regions reach each other again
    Then each knows the load of all others within 4000 ms of a change

  Scenario: When the gateways that exchange the sums of their regions die, others take their place
    Given 67 gateways in 3 regions of 2 zones with 33 runners
    When the first-ranked gateway of each zone dies
    Then each knows the load of all others within 3500 ms of a change
