Feature: Builds that run side by side
  Scenario Outline: What an older build wrote is read, and written alike
    Given the samples of build "<build>"
    Then each is read as what it was made of, and made of that again
    And its kinds of messages are the first <kinds> of today's

    Examples:
      | build   | kinds |
      | b870c0b | 17    |
      | 8a76974 | 20    |

  Scenario: A form that changes is declared
    Then the kinds of messages beyond those of "8a76974" have the bytes that were declared for them
    And the kinds of records on disk are those of "8a76974"

  Scenario: What a newer build puts behind a message or a record is passed over
    Then any message is read the same with any sections behind it
    And any message of a kind beyond today's is told as unknown, with its call
    And any record is read the same with any sections behind it and strange records between
    And a message between gateways about proofs is read the same with sections behind it
    And any sections of strange kinds behind the loads of a gateway change nothing of them
    And fields of a newer build stay in the record of members when that changes

  Scenario: A disk that holds records of a newer build is not complete
    Given a replica that was complete, and 1 record of a newer build on its disk
    Then it begins as one that is not complete
    Given a replica that was complete, and 0 records of a newer build on its disk
    Then it begins as one that is complete

  Scenario Outline: A replica of an older build is asked for chains in a form that it reads
    Given a replica that reads <kinds> kinds, tells <told> of it and says of chains "<says>"
    When a chain is asked for under members while another call waits
    Then the answer is "<answer>", asked for as "<form>"
    And the other call is answered, and <connections> connections were made

    Examples:
      | kinds | told    | says    | answer  | form       | connections |
      | 17    | nothing | missing | unsure  | chain      | 2           |
      | 17    | nothing | found   | found   | chain      | 2           |
      | 20    | nothing | missing | missing | chainUnder | 2           |
      | 21    | all     | missing | missing | chainUnder | 1           |
      | 21    | all     | found   | found   | chainUnder | 1           |

  Scenario: What an older build has no form for is said not to be known there
    Given a replica that reads 17 kinds, tells nothing of it and says of chains "found"
    When it is asked for the silences of others
    Then the answer is "notKnown", asked for as "nothing"

  Scenario: Members of an older build, which say nothing of one another, are seen to be there all the same
    Given a replica outside the members, which are of a build that says nothing of silences
    Then none of them counts as silent after 5000 milliseconds

  Scenario: A replica that is asked what it doesn't know says so, and the connection stays
    Given a replica that serves
    When it gets a message of a kind beyond today's, and then a question that it knows
    Then it says of the first that it is not known, and answers the second on the same connection
