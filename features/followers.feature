Feature: What many gateways tell one another does not grow with their number
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

  Scenario: Of forty gateways some twelve follow the store, and all hear of a change
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When a key of the store is changed
    Then within 1200 milliseconds all that run know the change

  Scenario: When all that follow the store die at once, others take their place
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When all that follow the store die and a key of the store is changed
    Then within 3500 milliseconds all that run know the change

  Scenario: When the store refuses those that follow it and serves the others, all hear of a change
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When the store refuses all that follow it and a key of the store is changed
    Then within 2500 milliseconds all that run know the change

  Scenario: When peers know a change and can not bring it, the store is asked itself
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 12 and 20 of them follow the store
    When no gateway answers fetches any more
    And a key of the store is changed
    Then within 2200 milliseconds all that run know the change

  Scenario Outline: What the store acknowledges right after a silence is in force within the bound
    Given <gateways> gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When the store says nothing for <silence> milliseconds, and a key is changed as it answers again
    Then within 1500 milliseconds all that run know the change

    Examples:
      | gateways | silence |
      | 1        | 5000    |
      | 3        | 4500    |
      | 8        | 5000    |
      | 8        | 7100    |
      | 40       | 5000    |

  Scenario Outline: When all open connections to the store go silent for good, a change is in force soon
    Given <gateways> gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When all open connections to the store go silent
    And a key of the store is changed
    Then within 2000 milliseconds all that run know the change

    Examples:
      | gateways |
      | 1        |
      | 3        |
      | 8        |
      | 40       |

  Scenario: A gateway that is told a revision that never was does not ask without end
    Given 3 gateways that tell one another what they know of the store
    When one of them says for 5000 milliseconds that it knows revision 900000
    Then each asks it at most 40 times, and a key that is changed then is known to all within 2000 milliseconds

  Scenario Outline: Each knows the load of all others soon, for a bounded number of messages
    Given <gateways> gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 1 and 16 of them follow the store
    When each has 2 requests at a runner and one of them 30
    Then within 700 milliseconds each knows the requests of all others that run
    And in 2 seconds each sends <messages> messages and <bytes> bytes a second at most, on average

    Examples:
      | gateways | messages | bytes |
      | 12       | 90       | 9000  |
      | 40       | 50       | 6500  |
      | 160      | 45       | 5500  |

  Scenario: When the first of each zone dies, the next stand in
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When each has 2 requests at a runner and one of them 30
    Then within 700 milliseconds each knows the requests of all others that run
    When the first of each zone dies
    Then within 1200 milliseconds each knows the requests of all others that run

  Scenario: What a runner keeps is known to all soon
    Given 40 gateways that tell one another what they know of the store
    Then after 12000 milliseconds between 1 and 20 of them follow the store
    When one gateway tells that a runner keeps a part of a prompt
    Then within 500 milliseconds all others have heard of the part

  Scenario: Figures that each gateway tells are known to all as one sum
    Given 40 gateways that tell one another what they know of the store
    When each tells 3 of a topic that all know and 2 of one that nobody knows
    Then within 2500 milliseconds each knows that the others have 117 and 78

  Scenario: Gateways of an older build are told nothing that they can not read
    Given 40 gateways that tell one another what they know of the store
    And every fourth of them is of a build that reads no figures
    When each tells 3 of a topic that all know and 2 of one that nobody knows
    Then after 4000 milliseconds the older ones were never sent any figures
    And none of the newer ones counts more than 90, and some count what newer ones told
