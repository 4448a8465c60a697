Feature: Builds that run side by side
  Scenario Outline: Data of an older build is decoded, and encoded to the same bytes
    Given the samples of build "<build>"
    Then each is decoded to its original value and encoded to the same bytes
    And its kinds of messages are the first <kinds> of today's

    Examples:
      | build   | kinds |
      | b870c0b | 17    |
      | 8a76974 | 20    |

  Scenario: New message and record kinds are declared
    Then the message kinds beyond those of "8a76974" have their declared bytes
    And the record kinds beyond those of "8a76974" have their declared bytes

  Scenario: Data that a newer build appends to a message or a record is ignored
    Then any message is decoded alike with any sections appended
    And any message of an unknown kind is decoded as unknown, with its call number
    And any record is decoded alike with any sections appended and unknown records in between
    And a proof message between gateways is decoded alike with sections appended
    And any unknown sections appended to a load message leave its loads unchanged
    And fields of a newer build stay in the membership record when it changes

  Scenario: A replica with records of a newer build on its disk is incomplete
    Given a replica that was complete, and 1 record of a newer build on its disk
    Then it begins as one that is not complete
    Given a replica that was complete, and 0 records of a newer build on its disk
    Then it begins as one that is complete

  Scenario Outline: Chains are requested from a replica of an older build with a message kind that it knows
    Given a replica that reads <kinds> kinds, tells <told> of it and says of chains "<says>"
    When a chain is requested under an epoch while another call is pending
    Then the reply is "<answer>", requested as "<form>"
    And the other call is answered, and <connections> connections were made

    Examples:
      | kinds | told    | says    | answer  | form       | connections |
      | 17    | nothing | missing | unsure  | chain      | 2           |
      | 17    | nothing | found   | found   | chain      | 2           |
      | 20    | nothing | missing | missing | chainUnder | 2           |
      | 21    | all     | missing | missing | chainUnder | 1           |
      | 21    | all     | found   | found   | chainUnder | 1           |

  Scenario: A request without a fallback for an older build is answered as not known
    Given a replica that reads 17 kinds, tells nothing of it and says of chains "found"
    When it is asked for the silences of others
    Then the reply is "notKnown", requested as "nothing"

  Scenario: Members of an older build, which do not report silences, still count as present
    Given a non-member replica, and members of a build that does not report silences
    Then none of them counts as silent after 5000 milliseconds

  Scenario: A replica replies to unknown requests that they are not known, and keeps the connection open
    Given a replica with a server
    When it receives a message of an unknown kind, and then a request that it knows
    Then it replies that the first is not known, and answers the second on the same connection
