Feature: Quotas by whole programs

  Scenario Outline: 83 tenants, one at 7.5 times its limit, one whose limit is lowered, through 72 gateways
    When 83 tenants send programs on 20 seeds to <members> members of which one is <fault>
    Then no window of any tenant holds more than its hard limit
    And at least 95 in 100 of the programs that a clairvoyant policy completes within the configured limit are completed
    And at least <least> in 100 of the programs that a clairvoyant policy completes within the hard limit are completed
    And fewer than <most> in 100 of the requests that ran were of programs that were cut off

    Examples:
      | members | fault                                | least | most |
      | 3       | none                                 | 95    | 2    |
      | 5       | none                                 | 95    | 2    |
      | 5       | lost                                 | 80    | 3    |
      | 5       | partitioned                          | 80    | 3    |
      | 3       | unreachable for half of the gateways | 90    | 2    |

  Scenario Outline: A share of a quota has one holder at a time
    Then whatever is lost, late, frozen or restarted among <members> members, no share has two holders

    Examples:
      | members |
      | 3       |
      | 5       |

  Scenario: The check of the holders detects a lease that ends too late
    Then a lease that is counted from the receipt of the reply is detected

  Scenario Outline: The hard limit holds in windows of any length
    Then in any run of bursts and of programs at the home no window of <seconds> seconds holds more than its limit

    Examples:
      | seconds |
      | 2       |
      | 5       |
      | 12      |

  Scenario: A tenant that sends once a minute
    Then a program of 9 requests each minute is granted whole under a limit of 0.2 a second and 1 at once

  Scenario: A program that a gateway takes for a new one is recognized at the home
    Then a later turn that looks like a first one is granted where a new program is refused

  Scenario: Refused clients return one after another
    Then of 6 programs refused together, those refused first are told to return first, a program's time apart
    And a program that returns in time goes before new ones

  Scenario: More urgent kinds go first and do not starve the others
    Then while more urgent programs wait, a less urgent one is refused at first and admitted later
