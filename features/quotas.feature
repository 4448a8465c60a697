Feature: Quotas by whole programs

  Scenario Outline: 83 tenants, one at 7.5 times its limit, one whose limit is lowered, through 72 gateways
    When 83 tenants send programs on 20 seeds to <members> members of which one is <fault>
    Then no window of any tenant holds more than its hard limit
    And the figures are printed

    Examples:
      | members | fault                                |
      | 3       | none                                 |
      | 5       | none                                 |
      | 5       | lost                                 |
      | 5       | partitioned                          |
      | 3       | unreachable for half of the gateways |
