Feature: The interface of a node that leaves
  The answers of a node that leaves close their connections. Each call that has run is answered all the same, whatever its caller sends
  ahead, and the others have not run. The scenarios use real sockets on loopback.

  # Guards against an answer that closes a connection on which calls behind it were started.
  Scenario: Calls sent ahead are answered although the node leaves
    Given a cluster whose tools take 150 milliseconds for a call
    When a node of the cluster is told to leave
    And a caller sends 3 calls ahead on one connection to it
    Then each call that ran is answered, in order, and the connection closes after the last
    And the node stops

  # Guards against the same for a caller that sends its next call before the last one is answered.
  Scenario: A caller that doesn't wait for answers loses none while the node leaves
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller sends a call every 20 milliseconds on one connection for 2 seconds
    And a node of the cluster is told to leave after 700 milliseconds
    Then each call that ran is answered, in order, and the connection closes after the last
    And the node stops

  # Guards against calls of one connection that run in another order than their caller sent them.
  Scenario: Calls sent ahead run one after another
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller sends 4 calls ahead on one connection to it
    Then they are all answered, and no two of them ran at the same time

  # Guards against an answer that was passed on, and is cut as idle since its caller hasn't read it.
  Scenario: Answers that are read late are whole although the node leaves meanwhile
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller asks for the metrics 3000 times ahead on one connection, and reads nothing
    And a node of the cluster is told to leave, and the caller begins to read after 1500 milliseconds
    Then all 3000 answers are whole, and the connection closes after the last
    And the node stops

  # Guards against an answer of the parser in the place of the one to the call in progress.
  Scenario Outline: <bytes> behind a call in progress doesn't take its answer
    Given a cluster whose tools take 200 milliseconds for a call
    When a caller sends 1 calls ahead on one connection to it
    And it sends "<bytes>" behind
    Then the call is answered by its tool, and the connection closes with status 400

    Examples:
      | bytes      |
      | a bad head |
      | a bad body |
      | a tunnel   |

  # Guards against a caller that keeps a node from leaving.
  Scenario: A node that leaves gives up answers that nobody reads
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller asks for the metrics 3000 times ahead on one connection, and reads nothing
    And a node of the cluster is told to leave
    Then the node stops

  # Guards against the same by calls that are sent ahead without end.
  Scenario: A node that leaves ends while a caller sends more calls than it answers
    Given a cluster whose tools take 100 milliseconds for a call
    When a caller sends a call every 20 milliseconds on one connection for 25 seconds
    And a node of the cluster is told to leave after 100 milliseconds
    Then each call that ran is answered, in order, and the connection closes after the last
    And the node stops

  Scenario: A caller that has sent half a head doesn't keep a node from leaving
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller sends 1 calls ahead on one connection to it
    And it sends "half a head" behind
    And a node of the cluster is told to leave after 500 milliseconds
    Then the node stops within 5 seconds

  # Guards against calls behind one whose answer closes the connection.
  Scenario: A call that is too large doesn't let those behind it run
    Given a cluster whose tools take 50 milliseconds for a call
    When a caller sends a call of 9 MiB and 2 calls ahead on one connection
    Then the call of 9 MiB is answered with 413, the connection closes, and no call ran

  # Guards against a call that runs although its caller has given it up.
  Scenario: A call whose time passes while earlier ones run is refused as not run
    Given a cluster whose tools take 400 milliseconds for a call
    When a caller sends 2 calls ahead on one connection, the second with a timeout of 0.05 seconds
    Then the first is answered with 200, the second with 504 as not run, and one call ran
