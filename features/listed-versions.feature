Feature: What is known of the versions that were listed
  A stream that a client resumes continues at the version that began it. Where no record tells which, it follows only from
  complete knowledge of the versions that were listed in the last minute, and of the services of its route.

  # Guards against forgetting a version that was listed until just before the next report.
  Scenario: A member keeps a version for as long as it may have been listed
    Given a member to which a gateway reports that "v1" of "minds" is listed
    Then 89 s later the member still reports "v1" of "minds"
    And 91 s later the member reports no version of "minds"

  # Guards against a member that takes a time in which no gateway reported for one in which nothing was listed.
  Scenario: A member without reports no longer counts as knowing the past
    Given a member to which a gateway reports that "v1" of "minds" is listed
    Then 29 s later the member knows the last 60 s
    And 31 s later the member knows the last 0 s
    When a gateway that started just now reports that "v2" of "minds" is listed
    Then 5 s later the member knows the last 5 s

  # Guards against concluding from the knowledge of members that a write to a majority may have missed.
  Scenario Outline: Only what a majority of the members knows counts
    Given a gateway that starts, and three members that know the last <seconds> s
    When the gateway exchanges versions with the members
    Then the gateway <knows> the versions of the last minute

    Examples:
      | seconds      | knows         |
      | 60, 60 and 0 | knows         |
      | 60, 0 and 0  | doesn't know  |
      | 60, 59 and 0 | doesn't know  |

  # Guards against missing what is listed between the report of the members and the own list.
  Scenario: What the members know counts only once the own list is proved
    Given a gateway that starts without a proved list, and three members that know the last 60, 60 and 60 s
    When the gateway exchanges versions with the members
    Then the gateway doesn't know the versions of the last minute
    When its list is proved, and the gateway exchanges versions with the members
    Then the gateway knows the versions of the last minute

  # Guards against a gateway whose list has stopped, and that reports to know what others have listed since.
  Scenario: A gateway doesn't report to know the past while its list isn't proved
    Given a gateway that starts, and three members that know the last 60, 60 and 60 s
    When the gateway exchanges versions with the members
    Then the gateway reports that it knows the last 60 s
    When its list is no longer proved
    Then the gateway reports that it knows the last 0 s

  # Guards against messages to all members twice a second for as long as a gateway hasn't run for a minute.
  Scenario Outline: Members that have told what they know are asked again with the next reports only
    Given a gateway that starts, and three members that know the last <seconds> s
    When 25 s pass
    Then each member was called 2 to 4 times

    Examples:
      | seconds     |
      | 0, 0 and 0  |
      | 60, 5 and 0 |

  Scenario: Members are asked until the own list is proved
    Given a gateway that starts without a proved list, and three members that know the last 60, 60 and 60 s
    When 25 s pass
    Then each member was called 48 to 60 times

  # Guards against a route that takes over requests, or gives them back, and with them streams of another service.
  Scenario Outline: A route shares the past of the one that otherwise gets its requests
    Given a gateway with one version of the services "minds" and "desk"
    When the routes are <before>, and then <after>
    Then streams of "<path>" have no sole origin for 60 s, and the service "<service>" after that

    Examples:
      | before                    | after                     | path   | service |
      | "/a/ minds"               | "/a/ minds, /a/b/ desk"   | /a/b/  | desk    |
      | "/ minds"                 | "/ minds, /a/b/ desk"     | /a/b/  | desk    |
      | "/a/ minds, /a/b/ desk"   | "/a/ minds"               | /a/    | minds   |
      | "/a/ minds"               | "/a/ desk"                | /a/    | desk    |

  Scenario: A change of other routes leaves the origin of streams known
    Given a gateway with one version of the services "minds" and "desk"
    When the routes are "/a/ minds", and then "/a/ minds, /c/ desk"
    Then the service "minds" is the sole origin of the streams of "/a/"
    And the service "desk" is the sole origin of the streams of "/c/"

  # Guards against taking a route that was added while all gateways were away for one that had always been there.
  Scenario Outline: A gateway that starts knows from the members which routes are new
    Given members that know the routes "<before>" for a minute
    When a gateway starts with the routes "<after>", and learns what the members know
    Then the streams of "<path>" have <origin>

    Examples:
      | before                | after                 | path  | origin                          |
      | /a/ minds             | /a/ minds, /a/b/ desk | /a/b/ | no sole origin                  |
      | /a/ minds, /a/b/ desk | /a/ minds             | /a/   | no sole origin                  |
      | /a/ minds, /a/b/ desk | /a/ minds, /a/b/ desk | /a/b/ | the sole origin "desk"          |
      | /a/ minds, /a/b/ desk | /a/ minds, /a/b/ desk | /a/   | the sole origin "minds"         |
      | /A/ minds             | /A/ desk              | /A/   | no sole origin                  |

  # Guards against concluding from the own list what the lists of other gateways contradict.
  Scenario Outline: What another gateway has seen mixed has no sole origin
    Given a gateway with one version of the services "minds" and "desk"
    When the routes become "/a/ minds"
    And another gateway has seen a mix at "<key>"
    Then the streams of "/a/" have <origin>

    Examples:
      | key               | origin                  |
      | minds             | no sole origin          |
      | //shop.example/a/ | no sole origin          |
      | desk              | the sole origin "minds" |

  # Guards against a route that inherits only the present service of the one above it.
  Scenario: A route below one that has moved lately shares the past of that one
    Given a gateway with one version of the services "minds" and "desk"
    When the routes are "/a/ minds", and then "/a/ desk"
    And the routes become "/a/ desk, /a/b/ desk"
    Then the streams of "/a/b/" have no sole origin

  # Guards against sending the records of all unfinished streams with each report that names several versions.
  Scenario: A report of versions that are known doesn't count as a new version
    Given a gateway with one version of the services "minds" and "desk"
    When the routes become "/a/ minds, /a/ desk"
    And peers report 10 times that "v2" of "minds" was listed 5 s ago
    Then 1 new version was noticed

  # Guards against reports that name the services of all routes of a large configuration.
  Scenario: Only routes whose streams may be resumed are reported
    Given a gateway with one version of the services "minds" and "desk"
    When the routes become "/a/ minds, /b/ desk unresumable, /c/ desk"
    Then the gateway reports the routes "/a/, /c/" to the members

  # Guards against a route that was gone for a moment, whose streams began elsewhere, and counts as listed without a break.
  Scenario Outline: A member keeps a break that a gateway has seen
    Given a member to which a gateway reports that "v1" of "minds" is listed
    When 8 s later a gateway that knows the last <known> s reports that it has been listed for 3 s
    Then the member reports that it has been listed for <listed> s

    Examples:
      | known | listed |
      | 60    | 3      |
      | 5     | 8      |

  # Guards against a version that counts as new whenever a gateway reports that it has left.
  Scenario: A version that a gateway no longer lists doesn't count as listed anew
    Given a member to which a gateway reports that "v1" of "minds" is listed
    When 8 s later a gateway that knows the last 60 s reports that it was listed 1 s before
    Then the member reports that it has been listed for 8 s

  Scenario: A gateway that saw a route return doesn't believe that it was always listed
    Given a gateway with one version of the services "minds" and "desk"
    When the routes are "/a/ minds, /a/b/ desk", and then "/a/ minds"
    And the routes become "/a/ minds, /a/b/ desk"
    And others report that "/a/b/" has had the service "desk" for 100 s
    Then the streams of "/a/b/" have no sole origin

  # Guards against sending the records of all unfinished streams once for each route that a configuration moves.
  Scenario: A configuration that moves many routes has the unfinished streams recorded once
    Given a gateway with 10 unfinished streams
    When a configuration moves 5 routes
    Then 10 origins were recorded
