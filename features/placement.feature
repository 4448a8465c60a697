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
