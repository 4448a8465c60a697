Feature: What is known of a suspected request
  Gateways count the runners that ended under a request from what all of them saw.

  # Guards against clients that leave often being refused since their runners crash by chance.
  Scenario Outline: Ends after a request was given up count as far as they outnumber the runners that outlived it
    Given a request that was given up at <ended> runners that ended and at <outlived> runners that outlived it
    When <awaited> runners end while it is waited for
    Then <counted> ends count

    Examples:
      | ended | outlived | awaited | counted |
      | 3     | 0        | 0       | 3       |
      | 3     | 2        | 0       | 1       |
      | 1     | 4        | 0       | 0       |
      | 2     | 5        | 2       | 2       |

  Scenario: Reports of ended and surviving runners are counted alike in whatever order they come
    Then reports in any order, some of them more than once, lead to the same count

  # Guards against a quarantine that a restart of all processes ends, or one that never ends.
  Scenario Outline: What a replica stored is known after it starts again, for ten minutes
    Given a replica that stored that 3 runners ended under a request
    When it starts again <seconds> s later
    Then a gateway that starts reads that <counted> runners ended under the request

    Examples:
      | seconds | counted |
      | 1       | 3       |
      | 590     | 3       |
      | 601     | 0       |

  # Guards against gateways that each take their own announcement of a send for the earlier one.
  Scenario Outline: Gateways that send the same request at the same time end three runners at most
    Then calls at <gateways> gateways that begin within 60 ms end 3 runners at most, if messages take 1 to 8 ms

    Examples:
      | gateways |
      | 2        |
      | 3        |

  # Guards against innocent requests being held apart from one another since one crash made suspects of all of them.
  Scenario Outline: Only the last permitted send of a request is kept apart from other suspects
    When the next send of a request under which <ended> runners ended is arranged
    Then its runner is chosen <how>

    Examples:
      | ended | how                  |
      | 1     | as for any request   |
      | 2     | apart from suspects  |

  Scenario: A runner that outlived a request and gets it again counts as one where it may be
    Given a request that was given up at 0 runners that ended and at 1 runners that outlived it
    When it is announced for that runner again after 300 ms
    Then it may be at 1 runners
    And a late report that the runner outlived it before changes nothing
