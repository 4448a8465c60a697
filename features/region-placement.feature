Feature: Placement in several regions

  Scenario: Load of 0.5 to 1.3 times the capacity in one region, less in the others
    Given 67 gateways before 24 engines in 3 regions, and the load of one region between 0.5 and 1.3 of its capacity
    When 20 seeds are played by region, with the previous placement, with the own region only and blind to regions
    Then the mean program time by region is at least 0.02 below each of the others
    And by region two regions exchange overflow in less than 0.01 of the seconds

  Scenario Outline: A region takes overflow only if its wait is shorter by more than the way there and back
    Given runners of the own region with <own> of 6 slots taken and of another with <other>, 170 ms a request
    Then the share that overflows is between <least> and <most>

    Examples:
      | own | other | least | most |
      | 3   | 0     | 0     | 0    |
      | 5   | 5     | 0     | 0    |
      | 5   | 2     | 0.02  | 0.15 |
      | 8   | 2     | 0.2   | 0.3  |
      | 20  | 2     | 0.35  | 0.45 |
      | 2   | 8     | 0     | 0    |

  Scenario: A region whose load is not known takes no overflow
    Given that the load of the other region is not known
    Given runners of the own region with 8 of 6 slots taken and of another with 0, 170 ms a request
    Then the share that overflows is between 0 and 0

  Scenario: The bytes of a request count four times as much between regions as between zones
    Then a body of 10 kilobytes is charged 13 ms to another zone and 65 ms to another region
