Feature: Histories of streams that are resumed while software versions change
  Seeded histories in virtual time: gateways and replicas are killed, stalled and cut off, runners of three versions come,
  leave and crash, and clients leave their streams and resume them at any gateway, also late and more than once.

  Scenario Outline: A stream gets events of one version only, and resumptions go on
    When stream histories run from seed <first> to <last> with <gateways> gateways
    Then no stream history violates a promise
    And at least <share> percent of the resumptions without a recent fault went on

    Examples:
      | first | last | gateways | share |
      | 1     | 12   | 6        | 90    |
      | 1     | 4    | 24       | 90    |

  Scenario Outline: A planted mistake is found
    When the stream history of seed <seed> runs with the mistake "<mistake>"
    Then it violates "<promise>"

    Examples:
      | seed | mistake         | promise   |
      | 1    | anyVersion      | holds     |
      | 2    | nothingRecorded | went on   |
      | 1    | listBelieved    | holds     |
      | 1    | unnamedGuessed  | holds     |
