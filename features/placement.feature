Feature: Where a routed request goes
  Scenario: Shares of a split hold over tens of requests and programs stay with their service
    Then any split gives each service its share within one program's requests

  Scenario: A route is the one with the longest prefix
    Then a path finds the route with the longest prefix of its host

  Scenario: A stream is cut into events without changing a byte
    Then any chunks of a stream give the same events and the same bytes

  Scenario Outline: The runner of least cost is chosen
    Given runners "<runners>"
    When a request with a prompt of 2000 tokens in zone "z1" is placed
    Then it goes to "<chosen>"

    # name:zone:slots:in flight:mean milliseconds:cached tokens
    Examples:
      | runners                                    | chosen |
      | near:z1:8:0:100:0 far:z2:8:0:100:0         | near   |
      | near:z1:8:12:100:0 far:z2:8:0:100:0        | far    |
      | cold:z1:8:0:100:0 warm:z2:8:0:100:2000     | warm   |
      | warm:z1:8:16:400:2000 cold:z1:8:1:400:0    | cold   |
      | slow:z1:8:0:900:0 fast:z2:8:0:100:0        | fast   |

  Scenario Outline: What was read or is near outweighs a few requests more
    Given runners "<runners>"
    When a request of <bytes> bytes with a prompt of 15000 tokens in zone "z1" is placed
    Then it goes to "<chosen>"

    Examples:
      | runners                                        | bytes | chosen |
      | warm:z1:12:6:350:14000 cold:z1:12:3:350:2000   | 0     | warm   |
      | warm:z1:12:16:350:14000 cold:z1:12:3:350:12000 | 0     | cold   |
      | near:z1:12:4:350:14000 far:z2:12:2:350:14000   | 17000 | near   |
      | near:z1:12:11:350:14000 far:z2:12:2:350:14000  | 17000 | far    |

  Scenario: What an engine costs is learned from its streams
    Then the reading rates of engines that differ twentyfold are within 20 % after 60 streams
    And an engine whose events slow down with each request beside them is known within 30 %
    And streams that stall leave the reading rate of an engine within bounds

  Scenario: What a runner keeps counts up to the first part that it lacks
    Given a runner with memory for 10000 tokens
    When prompts "a:2000,b:1000" and "a:2000,c:500" were read there
    Then it keeps 3000 tokens of the prompt "a:2000,b:3000"
    And it keeps 2000 tokens of the prompt "a:2000,d:100"
    And it keeps 0 tokens of the prompt "e:100,b:1000"
    When prompts "f:7000" and "g:1000" were read there
    Then it keeps 0 tokens of the prompt "a:2000,b:3000"

  Scenario: A silence is unusual when it is longer than the service's answers show
    Then a service that says nothing for 300 milliseconds is not asked again before 240 milliseconds
    And a service that is never silent for long is asked again after 150 milliseconds
    And no silence is usual beyond 1000 milliseconds

  Scenario: An open connection decides between runners that are alike
    Given runners "open:z1:8:1:100:0 closed:z1:8:0:100:0"
    When the connection to "closed" has yet to be made
    And a request with a prompt of 0 tokens in zone "z1" is placed
    Then it goes to "open"

  Scenario: Long answers do not make a runner look slow
    Then streams of any length leave a usual runner as fast as its service
    And a runner that takes five times as long is known after 4 requests

  Scenario: A late program ranks behind those in time, and no rank leaves its range
    Then late requests rank behind timely ones of the same and of the next priority

  Scenario: Gateways whose picture of the load is old don't all send to the same runner
    Then with loads told 0.3 s late, a sixth as many requests stand in front of others where runners are drawn as where all are weighed
    And where others send little before it is known, all runners are weighed
    And whoever keeps the most of a prompt is always among those that are weighed
