Feature: Streams that continue at the software version that began them
  Runners of several software versions may serve side by side in one service. What two versions write doesn't fit
  together, and runners don't check it: a stream that is resumed, within an answer or over the tries of a client, gets
  events of one version only.

  Background:
    Given 2 gateways, and runners of the software versions "v1" and "v2" in one service

  # Guards against a gateway that continues an interrupted answer at any runner of the service.
  Scenario: An interrupted answer continues at the version that began it
    When 12 streams are cut off by their runner after half of their events
    Then every stream is complete, with events of one version

  # Guards against a gateway that doesn't know the version of a stream that another gateway began.
  Scenario: A client resumes its stream at another gateway
    When 24 clients leave their streams after 2 events and resume them at the other gateway
    Then every stream is complete, with events of one version

  # Guards against a record of the version that is lost with the gateway that began the stream.
  Scenario: A client resumes its stream at another gateway after the one that began it was killed
    When 24 clients receive 2 events, their gateway is killed, and they resume at the other gateway
    Then every stream is complete, with events of one version

  # Guards against a record that goes to the replicas only from the second version on.
  Scenario: A stream that began before a second version served is resumed after its gateway was killed
    Given 2 gateways, and runners of the software version "v1" in one service
    When 6 clients receive 2 events, and then a runner of "v2" is listed and the runner of "v1" serves on
    And their gateway is killed, and they resume at the other gateway
    Then every stream is complete, with events of one version

  # Guards against finished streams that take the place of unfinished ones in what a gateway keeps and records.
  Scenario: A stream that was delivered to its end isn't recorded when a second version is listed
    Given 2 gateways, and runners of the software version "v1" in one service
    When 6 clients receive all events, and then a runner of "v2" is listed and the runner of "v1" serves on
    And their gateway is killed, and they resume at the other gateway
    Then every resumption is refused as not run, with a time to return
    And no runner ran a resumption

  Scenario: A stream of which all records are lost is refused, not guessed
    When 12 clients receive 2 events, all gateways and replicas but one gateway are killed, and they resume there
    Then every resumption is refused as not run, with a time to return
    And no runner ran a resumption

  Scenario Outline: A request that names no known stream is refused while several versions serve
    When a client resumes <stream> after event "<event>"
    Then every resumption is refused as not run, <return>
    And no runner ran a resumption

    Examples:
      | stream               | event | return                   |
      | a stream of nobody   | 2     | with a time to return    |
      | an unnamed stream    | 2     | without a time to return |
      | a very long id       | 2     | with a time to return    |
      | a stream of nobody   | ???   | with a time to return    |

  Scenario: A client may resume a stream of nobody while one version serves
    Given 2 gateways, and runners of the software version "v1" in one service
    When a client resumes a stream of nobody after event "2"
    Then the resumption is complete from event 3 on

  # Guards against refusing clients that name no stream after all gateways were restarted.
  Scenario: A client that names no stream is served as long as no second version is known
    Given 2 gateways, and runners of the software version "v1" in one service
    And replicas that know what these gateways have listed
    And a third gateway that starts later
    When a client resumes an unnamed stream after event "2" at the third gateway
    Then the resumption is complete from event 3 on

  # Guards against a gateway that takes what the replicas didn't know when it started for what they will ever know.
  Scenario: A gateway that starts before others have reported serves clients that return once they have
    Given 2 gateways, and runners of the software version "v1" in one service
    And replicas that have lost what they knew
    And a third gateway that starts later
    When a client resumes an unnamed stream after event "2" at the third gateway
    Then every resumption is refused as not run, with a time to return
    When the first two gateways report what they know to the replicas
    And a client resumes an unnamed stream after event "2" at the third gateway
    Then the resumption is complete from event 3 on

  Scenario: A stream whose version has no runner left is refused at once
    When 12 clients receive 2 events, the runners of "v1" leave, and they resume at the other gateway
    Then streams of "v1" are refused as not run within 100 ms, without a time to return
    And streams of "v2" are complete, with events of one version

  Scenario: A gateway that starts knows only from its peers that one version served
    Given 2 gateways, and runners of the software version "v1" in one service
    And replicas that have lost what they knew
    And a third gateway that starts later
    When a client resumes a stream of nobody after event "2" at the third gateway
    Then every resumption is refused as not run, with a time to return
    When the third gateway reads what another one knows
    And a client resumes a stream of nobody after event "2" at the third gateway
    Then the resumption is complete from event 3 on

  # Guards against a request that was placed at a runner and is sent after its entry names another version.
  Scenario: An entry that changes its version counts as another runner
    When the entry of the runner of "v1" names "v2" while 12 clients receive 2 events and resume
    Then no stream continues under the entry of another version

  # Guards against a split of a route that each gateway decides for itself when a stream is resumed.
  Scenario: A stream on a route that is split between two services stays with its service
    Given 2 gateways, and runners of the software version "v1" in one service
    And a runner of "v1" in another service of a split route
    When 24 clients leave streams of the split route after 2 events and resume them at the other gateway
    Then every stream is complete, with events of one version
    And streams ran in both services

  # Guards against an unnamed stream that continues at the other service of its route.
  Scenario: An unnamed stream on a split route goes on at its service
    Given 2 gateways, and runners of the software version "v1" in one service
    And a runner of "v1" in another service of a split route
    When 24 clients leave streams of the split route after 2 events and resume them unnamed at the other gateway
    Then every stream is complete, with events of one version
    And streams ran in both services

  Scenario: An unnamed stream on a split route that nobody knows is refused
    Given 2 gateways, and runners of the software version "v1" in one service
    And a runner of "v1" in another service of a split route
    When a client resumes an unnamed stream of the split route after event "2"
    Then every resumption is refused as not run, without a time to return
    And no runner ran a resumption

  # Guards against a gateway that takes the versions it has seen since its start for all that served lately, and against late reports.
  Scenario Outline: After a restart of all gateways, unnamed streams don't continue at a version that came meanwhile
    Given 2 gateways, and <runners> of the software version "v1" in one service
    When 8 clients receive 2 events of streams of their own, and all gateways are killed
    And a runner of "v2" replaces those of "v1"
    And <replicas>
    And a gateway returns
    And the clients resume their streams without naming them at the last gateway
    Then no stream holds events of two versions

    Examples:
      | runners       | replicas                           |
      | runners       | a gateway returns                  |
      | runners       | the replicas are killed and return |
      | later runners | a gateway returns                  |

  # Guards against a gateway that forgets a version when it starts as the last entries of that version go.
  Scenario: After a restart of all gateways, unnamed streams don't continue at the version that is left
    When 12 clients receive 2 events of streams of their own, and all gateways are killed
    And the entries of the runners of "v1" are removed
    And a gateway returns
    And the clients resume their streams without naming them at the last gateway
    Then no stream holds events of two versions

  # Guards against losing the streams of a deployment with one version when all its gateways restart.
  Scenario Outline: After a restart of all gateways, streams go on while one version serves
    Given 2 gateways, and runners of the software version "v1" in one service
    When 6 clients receive 2 events of streams of their own, and all gateways are killed
    And a gateway returns
    And the clients resume their streams <naming> at the last gateway
    Then every stream is complete, with events of one version

    Examples:
      | naming              |
      | by name             |
      | without naming them |

  # Guards against refusing every stream that its client doesn't name for as long as a release lasts.
  Scenario Outline: Unnamed streams go on while two versions serve
    When 12 clients receive 2 events of streams of their own, and <event>
    And a gateway returns
    And the clients resume their streams without naming them at the last gateway
    Then every stream is complete, with events of one version

    Examples:
      | event                   |
      | leave                   |
      | all gateways are killed |

  # Guards against taking the stream of one client for that of another one that sent the same.
  Scenario: An unnamed stream is refused if another one has the same content while two versions serve
    When 2 clients leave streams with the same content after 2 events
    And a client resumes an unnamed stream after event "2"
    Then every resumption is refused as not run, without a time to return
    And no runner ran a resumption

  # Guards against taking the stream of one client for that of another one that sent the same but for one field.
  Scenario Outline: Streams of requests that differ in one field have different contents
    Then the contents of streams differ if only the <field> of the requests differ

    Examples:
      | field                 |
      | prompt parts          |
      | maximum output tokens |
      | tenants               |

  # Guards against concluding from the records of few members that no other stream has the same content.
  Scenario: An unnamed stream is refused if fewer than a majority of the members answer while two versions serve
    When 6 clients receive 2 events of streams of their own, and leave
    And 2 of the replicas are killed
    And the clients resume their streams without naming them at the last gateway
    Then every resumption is refused as not run, without a time to return

  # Guards against taking the stream of one client for that of another one, which the members have forgotten.
  Scenario Outline: An unnamed stream that the members have forgotten isn't taken for one with the same content
    When 12 clients receive 2 events of streams of their own, and leave
    And <gateway>
    And the replicas are killed and return
    And other clients do the same at the other gateway
    And the clients resume their streams without naming them at the last gateway
    Then no stream holds events of two versions

    Examples:
      | gateway                      |
      | the first gateway goes on    |
      | the first gateway is killed  |

  # Guards against a stream that was recorded nowhere and is taken for a later one, which was.
  Scenario: An unnamed stream that began while one version served isn't taken for a later one with its content
    Given 2 gateways, and runners of the software version "v1" in one service
    When 8 clients receive 2 events of streams of their own, and leave
    And the first gateway is killed
    And a runner of "v2" replaces those of "v1"
    And other clients do the same at the other gateway
    And the clients resume their streams without naming them at the last gateway
    Then no stream holds events of two versions

  # Guards against concluding from the own list, which may lag, when too few members answer.
  Scenario Outline: A stream of a version that only a killed gateway listed isn't continued at another one
    Given 2 gateways, and runners of the software version "v1" in one service
    And a runner of "v2" that only the first gateway lists so far
    When 8 clients receive 2 events of streams of their own, and leave
    And the first gateway is killed
    And 2 of the replicas are killed
    And the clients resume their streams <naming> at the last gateway
    Then no stream holds events of two versions

    Examples:
      | naming              |
      | by name             |
      | without naming them |

  # Guards against refusing a stream for good where the version that began it is not listed yet.
  Scenario Outline: A stream is refused for a moment at a gateway whose list is behind
    Given 2 gateways, and runners of the software version "v1" in one service
    And a runner of "v2" that only the first gateway lists so far
    When 8 clients receive 2 events of streams of their own, and leave
    And the clients resume their streams <naming> at the last gateway
    Then streams of "v2" are refused as not run within 100 ms, with a time to return
    And streams of "v1" are complete, with events of one version
    When the last gateway lists the runner of "v2"
    And the clients resume their streams <naming> at the last gateway
    Then streams of "v2" are complete, with events of one version

    Examples:
      | naming              |
      | by name             |
      | without naming them |

  # Guards against refusing a stream for good where the configuration that moved its route is not applied yet.
  Scenario: A stream is refused for a moment at a gateway whose configuration is behind
    Given 2 gateways, and runners of the software version "v1" in one service
    And the route moves at the first gateway to a runner of "v2" in another service
    When 6 clients receive 2 events of streams of their own, and leave
    And the clients resume their streams by name at the last gateway
    Then streams of "v2" are refused as not run within 100 ms, with a time to return
    When the route moves at all gateways
    And the clients resume their streams by name at the last gateway
    Then streams of "v2" are complete, with events of one version

  # Guards against a stream that continues at a service that its route has left, whose runners still serve.
  Scenario: A stream of which the record names a service that its route no longer has is refused
    When 12 clients receive 2 events of streams of their own, and leave
    And a runner of "v1" in another service is listed, and the route moves to that service
    And the clients resume their streams by name at the last gateway
    Then every resumption is refused as not run, without a time to return
    And no runner ran a resumption

  # Guards against a route that moves to another service, whose runners don't continue what the earlier ones began.
  Scenario Outline: A stream doesn't continue at the service to which its route has moved
    Given 2 gateways, and runners of the software version "v1" in one service
    When 6 clients receive 2 events of streams of their own, and <event>
    And a runner of "v1" in another service is listed, and the route moves to that service
    And a gateway returns
    And the clients resume their streams <naming> at the last gateway
    Then no stream holds events of two versions

    Examples:
      | event                   | naming              |
      | leave                   | by name             |
      | leave                   | without naming them |
      | all gateways are killed | by name             |
      | all gateways are killed | without naming them |

  # Guards against a gateway that takes the present service of a route for the one that began its streams.
  Scenario Outline: A stream doesn't continue at the service to which its route has moved, at a gateway that saw the move
    Given 2 gateways, and runners of the software version "v1" in one service
    When 6 clients receive 2 events of streams of their own, and leave
    And a runner of "v1" in another service is listed, and the route moves to that service
    And the first gateway is killed
    And the clients resume their streams <naming> at the last gateway
    Then no stream holds events of two versions

    Examples:
      | naming              |
      | by name             |
      | without naming them |
