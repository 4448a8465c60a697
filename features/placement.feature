Feature: Placement of relayed requests
  Scenario: A traffic split holds over tens of requests, and programs stay with their service
    Then any split gives each service its share within one program's requests

  Scenario: A path matches the route with the longest prefix
    Then a path matches the route of its host with the longest prefix

  Scenario: A stream is split into events without changing a byte
    Then a stream in chunks of any size gives the same events and the same bytes

  Scenario Outline: The runner with the lowest cost is chosen
    Given runners "<runners>"
    When a request with a prompt of 2000 tokens in zone "z1" is placed
    Then runner "<chosen>" is chosen

    # name:zone:slots:in flight:mean milliseconds:cached tokens
    Examples:
      | runners                                    | chosen |
      | near:z1:8:0:100:0 far:z2:8:0:100:0         | near   |
      | near:z1:8:12:100:0 far:z2:8:0:100:0        | far    |
      | cold:z1:8:0:100:0 warm:z2:8:0:100:2000     | warm   |
      | warm:z1:8:16:400:2000 cold:z1:8:1:400:0    | cold   |
      | slow:z1:8:0:900:0 fast:z2:8:0:100:0        | fast   |

  Scenario Outline: A cached prompt or the same zone outweighs a few more running requests
    Given runners "<runners>"
    When a request of <bytes> bytes with a prompt of 15000 tokens in zone "z1" is placed
    Then runner "<chosen>" is chosen

    Examples:
      | runners                                        | bytes | chosen |
      | warm:z1:12:6:350:14000 cold:z1:12:3:350:2000   | 0     | warm   |
      | warm:z1:12:16:350:14000 cold:z1:12:3:350:12000 | 0     | cold   |
      | near:z1:12:4:350:14000 far:z2:12:2:350:14000   | 17000 | near   |
      | near:z1:12:11:350:14000 far:z2:12:2:350:14000  | 17000 | far    |

  Scenario: The costs of an engine are learned from its streams
    Then the prefill rates of engines that differ twentyfold are known within 20 % after 60 streams
    And the delay that each concurrent request adds to events is known within 30 %
    And stalled streams leave the prefill rate of an engine within its bounds

  Scenario: Cached parts of a prompt count up to the first part that is not fully cached
    Given a runner with a prompt cache of 10000 tokens
    When prompts "a:2000,b:1000" and "a:2000,c:500" were read there
    Then 3000 tokens of the prompt "a:2000,b:3000" are cached
    And 2000 tokens of the prompt "a:2000,d:100" are cached
    And 0 tokens of the prompt "e:100,b:1000" are cached
    When prompts "f:7000" and "g:1000" were read there
    Then 0 tokens of the prompt "a:2000,b:3000" are cached

  Scenario: The inactivity timeout adapts to the answers of the service
    Then a service whose runners are inactive for 300 milliseconds is not probed before 240 milliseconds
    And a service whose runners are never inactive for long is probed after 150 milliseconds
    And no timeout exceeds 1000 milliseconds

  Scenario: An open connection decides between otherwise similar runners
    Given runners "open:z1:8:1:100:0 closed:z1:8:0:100:0"
    When no connection to "closed" is open
    And a request with a prompt of 0 tokens in zone "z1" is placed
    Then runner "open" is chosen

  Scenario: Long answers do not make a runner look slow
    Then streams of any length leave equally fast runners with the same expected latency
    And a runner that takes five times as long is recognized after 4 requests

  Scenario: A late program ranks behind those in time, and all ranks stay in range
    Then late requests rank behind timely ones of the same and of the next priority

  Scenario: Gateways with stale load information do not all choose the same runner
    Then with loads reported 0.3 s late, sampling runners causes less than a sixth of the queueing that comparing all of them causes
    And if others send few requests before they are reported, all runners are compared
    And a runner with the most cached tokens is always among those compared
