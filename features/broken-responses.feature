Feature: Broken responses of other servers
  The store, other gateways, engines and replicas are believed only if their response is whole.

  # Guards against a response of the store that is read although it was broken off: parsing it ended the process.
  Scenario Outline: Responses of other servers are not believed when they were broken off
    Given a server that answers '<body>' without a length and resets the connection
    When <reader> reads the answer
    Then the reader reports that there is none

    Examples:
      | reader                           | body                                                                         |
      | the client of the store's lists  | {"items":[],"At":7}                                                          |
      | the client of the store's writes | {"Revis                                                                      |
      | the reader of cached parts       | {"held":[]}                                                                  |
      | a gateway that asks another      | {"since":0,"revision":7,"items":[],"gone":[],"members":"m","peers":[]}       |

  # Guards against an answer without a status that is taken for a sound one: from the store, a runner's health check, a peer.
  Scenario Outline: Responses of other servers are not believed if HTTP doesn't allow their status
    Given a server that answers '<body>' with the status <status>
    When <reader> reads the answer
    Then the reader reports that there is none

    Examples:
      | reader                           | status | body                                                                   |
      | the client of the store's lists  | 000    | {"items":[],"At":7}                                                    |
      | the client of the store's lists  | 999    | {"items":[],"At":7}                                                    |
      | the client of the store's writes | 000    | {"Revision":8}                                                         |
      | the reader of cached parts       | 042    | {"held":[]}                                                            |
      | a gateway that asks another      | 000    | {"since":0,"revision":7,"items":[],"gone":[],"members":"m","peers":[]} |
      | the health check of a runner     | 000    | {}                                                                     |
      | the health check of a runner     | 600    | {}                                                                     |

  Scenario: A list without a revision is refused
    Given a server that answers '{}' with a length
    When the client of the store's lists reads the answer
    Then the reader reports that there is none

  # Guards against a replica whose connection failed being taken for one of an older build.
  Scenario: A replica whose connection is reset shows nothing of its build
    Given a replica that resets each connection once it has received something
    When its message kinds are probed
    Then the probe reports that they are unknown

  # Guards against an end that is believed while a part of the request waits to be written.
  Scenario: The end of a connection is held back while the request is being written
    Given a connection that is read separately, with a request that can't be written yet
    When its end is reported in a later turn than its data
    Then no reader of the connection has seen the end after 500 ms

  # Guards against a runtime that reports the end together with data although reading was stopped.
  Scenario Outline: An end counts as verified only if it was read apart from data
    Given a connection that is read separately
    When its end is reported <when> its data
    Then its end is <result>

    Examples:
      | when                 | result       |
      | in the same turn as  | not verified |
      | in a later turn than | verified     |
