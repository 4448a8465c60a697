Feature: Requests that end their runner
  The content of a request may end whatever runner runs it. After three runners have ended under a request it goes to none,
  whoever asks again, at whatever gateway and under whatever id.

  Background:
    Given 3 gateways, 3 replicas and 14 runners that start again under another id, as processes and servers

  # Guards against a count of ended runners that ends with the call, so that each try of a client ends more of them.
  Scenario Outline: A client that asks again and again ends three runners at most
    When a client asks 5 times for a "<kind>" request that ends its runner by "<effect>", each time at another gateway
    Then at most 3 runners ended under it

    Examples:
      | kind       | effect      |
      | repeatable | crash       |
      | resumable  | crash       |
      | resumable  | crashMidway |
      | broken     | crash       |
      | once       | crash       |
      | once       | freeze      |
      | repeatable | dark        |

  # Guards against gateways that each count for themselves while other clients ask for the same.
  @known-red
  Scenario Outline: Clients that ask for the same at the same time end three runners at most
    When <clients> clients ask 5 times at the same time for the same "repeatable" request that ends its runner by "crash"
    Then at most 3 runners ended under it

    Examples:
      | clients |
      | 2       |
      | 3       |

  # Guards against a count that is kept by the program that asks.
  Scenario: The same content under other programs ends three runners at most
    When a client asks 5 times for a "broken" request that ends its runner by "crash", each time under another program
    Then at most 3 runners ended under it

  # Guards against ends that count under nobody since the client of the request had left before.
  Scenario Outline: A client that leaves before its runner ends and asks again ends three runners at most
    When a client asks 8 times for a "<kind>" request that ends its runner 400 ms later, and leaves after 80 ms each time, with pauses of <pause> ms
    Then at most 3 runners ended under it
    And it was sent to no runner after that

    Examples:
      | kind       | pause |
      | repeatable | 300   |
      | repeatable | 100   |
      | resumable  | 300   |
      | once       | 300   |

  # Guards against ends that count under nobody since the time of the request was over before.
  Scenario: A client whose time is over before its runner ends and that asks again ends three runners at most
    When a client that allows 100 ms asks 8 times for a "repeatable" request that ends its runner 400 ms later, with pauses of 300 ms
    Then at most 3 runners ended under it
    And it was sent to no runner after that

  # Guards against a count that is lost when no process is left that knows it.
  Scenario Outline: Killing all processes at once between the tries of a client doesn't let it end more runners
    When a client asks 5 times for a "<kind>" request that ends its runner by "crash", and all processes are killed and start again after each try
    Then at most 3 runners ended under it

    Examples:
      | kind       |
      | repeatable |
      | once       |

  # Guards against an end that counts under nobody since the only gateway that knew of the send was killed.
  @known-red
  Scenario Outline: Killing the gateway at which a client's first try waits doesn't let it end more runners
    When a client asks 5 times for a "<kind>" request that ends its runner by "freeze", and the gateway of its first try is killed while it waits
    Then at most 3 runners ended under it

    Examples:
      | kind   |
      | broken |
      | once   |

  # Guards against retries that spread a request that can't be told apart from a popular one: a call may end as many runners
  # as any request may, and each further call one.
  Scenario: A request that looks like a popular one ends one runner a call once that is known
    When a client asks 5 times for what many others ask for, and its requests alone end their runner by "crash"
    Then at most 7 runners ended under it
