Feature: Requests that may be served in certain regions only

  Scenario Outline: Whatever the runners of the allowed region do, none elsewhere gets the request
    Given a gateway with runners in zones "a1 b1" and routes that allow the regions "a"
    And the runner in "a1" treats attempts as "<behaviours>"
    When 3 "<route>" requests are sent
    Then the runner in "b1" ran none, and the statuses are "<statuses>"

    Examples:
      | route      | behaviours                   | statuses    |
      | repeatable | answer                       | 200 200 200 |
      | repeatable | refuse refuse refuse         | 503 503 503 |
      | stream     | cutOff answer answer         | 200 200 200 |
      | repeatable | loseAnswer loseAnswer        | 200 200 200 |

  Scenario: Without a runner in the allowed regions a request is refused at once as not run
    Given a gateway with runners in zones "b1 b2" and routes that allow the regions "a"
    When 3 "repeatable" requests are sent
    Then the runner in "b1" ran none, and the statuses are "503 503 503"
    And each refusal took less than 500 ms and says when to retry

  Scenario Outline: A runner must be allowed by the route and by the tenant
    Given a route that allows "<route>" and a tenant that allows "<tenant>"
    Then runners in the zones "<zones>" are not excluded

    Examples:
      | route | tenant | zones             |
      |       |        | a1 a2 b1 b2 c1 c2 |
      | a b   |        | a1 a2 b1 b2       |
      |       | c      | c1 c2             |
      | a b   | b c    | b1 b2             |

  # Guards against a configuration that is refused as a whole since some of its requests have no place: the one before stayed in force.
  Scenario Outline: A configuration with requests that have no place is in force, and reports the route, the tenant and the region
    Given a configuration with a "<kind>" route "r" that allows "<route>" and a tenant "t" that allows "<tenant>"
    Then it is in force and reports "<problem>"

    Examples:
      | kind   | route | tenant | problem                                                                                                                        |
      | plain  | a b   | b c    | nothing wrong                                                                                                                  |
      | plain  | a x   |        | route r: AllowedRegions lists the unknown region x                                                                             |
      | plain  |       | y      | tenant t: AllowedRegions lists the unknown region y                                                                            |
      | plain  | a     | b c    | route r allows the regions a, tenant t only b, c: none is allowed by both                                                      |
      | public | a     | b c    | nothing wrong                                                                                                                  |
      | kept   |       |        | nothing wrong                                                                                                                  |
      | kept   | a     |        | route r: AllowedRegions (a) cannot be combined with Retain: turns are stored in all regions                                    |
      | kept   |       | b      | tenant t: AllowedRegions (b) cannot be combined with Retain of route r: turns are stored in all regions                        |
      | kept   | a b c | c b a  | nothing wrong                                                                                                                  |

  # Guards against turns that are stored in a region that their route or tenant doesn't allow, and against refusing any others.
  Scenario Outline: A turn is refused as not run if it would be stored in a region that is not allowed
    Given a gateway whose turns are stored in "<stored>", with a tenant "t" that allows "<tenant>"
    When "t" sends a "<route>" request
    Then the client gets status <status>
    And the runners ran it <runs> times

    Examples:
      | stored | tenant | route      | status | runs |
      | a      | a      | kept       | 200    | 1    |
      | a      | a b    | kept       | 200    | 1    |
      | a b    | a      | kept       | 503    | 0    |
      | a b    | a      | repeatable | 200    | 1    |
      | a b    |        | kept       | 200    | 1    |
      |        | a      | kept       | 503    | 0    |
