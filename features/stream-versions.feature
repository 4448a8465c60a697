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
