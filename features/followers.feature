Feature: Gossip traffic per gateway does not grow with the number of gateways
  Scenario Outline: Whether a gateway follows the store
    Given a gateway of rank <rank> that <does> the store since <since> milliseconds
    When no other gateway is known to have heard from the store for <silence> milliseconds
    Then it <then> the store

    Examples:
      | rank | does          | since | silence | then           |
      | 0    | doesn't ask   | 0     | 100     | follows        |
      | 2    | doesn't ask   | 0     | 100     | follows        |
      | 3    | doesn't ask   | 0     | 100     | doesn't follow |
      | 40   | doesn't ask   | 60000 | 1100    | doesn't follow |
      | 40   | doesn't ask   | 60000 | 1300    | follows        |
      | 40   | follows       | 3000  | 100     | follows        |
      | 40   | follows       | 5000  | 100     | doesn't follow |
      | 40   | follows       | 5000  | 1000    | follows        |
      | 3    | follows       | 60000 | 100     | follows        |

  Scenario: Of forty gateways about twelve follow the store, and all learn of a change
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When a key of the store is changed
    Then within 1200 milliseconds all running gateways know the change

  Scenario: When all followers of the store die at once, other gateways take their place
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When all followers of the store die and a key of the store is changed
    Then within 3500 milliseconds all running gateways know the change

  Scenario: When the store refuses its followers and serves the others, all learn of a change
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When the store refuses all its followers and a key of the store is changed
    Then within 2500 milliseconds all running gateways know the change

  Scenario: When peers announce a change that they cannot deliver, gateways ask the store
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When no gateway answers fetches any more
    And a key of the store is changed
    Then within 2200 milliseconds all running gateways know the change

  Scenario Outline: A change acknowledged right after an outage is in force within the bound
    Given <gateways> gateways that gossip what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When the store does not answer for <silence> milliseconds, and a key is changed when it answers again
    Then within 1500 milliseconds all running gateways know the change

    Examples:
      | gateways | silence |
      | 1        | 5000    |
      | 3        | 4500    |
      | 8        | 5000    |
      | 8        | 7100    |
      | 40       | 5000    |

  Scenario Outline: When all open connections to the store stop responding for good, a change is soon in force
    Given <gateways> gateways that gossip what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When all open connections to the store stop responding
    And a key of the store is changed
    Then within 2000 milliseconds all running gateways know the change

    Examples:
      | gateways |
      | 1        |
      | 3        |
      | 8        |
      | 40       |

  Scenario: A false revision from a peer does not cause endless fetches
    Given 3 gateways that gossip what they know of the store
    When one of them claims for 5000 milliseconds to know revision 900000
    Then each asks it at most 40 times, and a key that is changed then is known to all within 2000 milliseconds

  Scenario Outline: Each gateway soon knows the load of all others with a bounded number of messages
    Given <gateways> gateways that gossip what they know of the store
    Then after 12000 milliseconds between 1 and 16 of them follow the store
    When each has 2 requests at a runner and one of them 30
    Then within 700 milliseconds each knows the requests of all other running gateways
    And in 2 seconds each sends <messages> messages and <bytes> bytes a second at most, on average

    Examples:
      | gateways | messages | bytes |
      | 12       | 90       | 9000  |
      | 40       | 50       | 6500  |
      | 160      | 45       | 5500  |

  Scenario: When the first-ranked gateway of each zone dies, the next one takes over
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When each has 2 requests at a runner and one of them 30
    Then within 700 milliseconds each knows the requests of all other running gateways
    When the first-ranked gateway of each zone dies
    Then within 1200 milliseconds each knows the requests of all other running gateways

  Scenario: All gateways soon know what a runner caches
    Given 40 gateways that gossip what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When one gateway reports that a runner caches a part of a prompt
    Then within 500 milliseconds all others know of the part

  Scenario: All gateways learn the sum of the aggregates that each reports
    Given 40 gateways that gossip what they know of the store
    When each reports 3 of a known topic and 2 of an unknown one
    Then within 2500 milliseconds each knows that the others have 117 and 78

  Scenario: Gateways of an older build are sent no extensions
    Given 40 gateways that gossip what they know of the store
    And every fourth of them is of a build without extensions
    When each reports 3 of a known topic and 2 of an unknown one
    Then after 4000 milliseconds the older ones were never sent an extension
    And none of the newer ones counts more than 90, and some count what newer ones reported
