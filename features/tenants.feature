Feature: Tenants
  The key of a request identifies its tenant. A revoked key is not accepted beyond the allowed delay, and no tenant runs
  more requests than its limit, whatever the network partitions.

  Scenario: The key is not forwarded, and the runner receives the tenant
    Given a gateway with tenants "north" and "south"
    When a client sends a request with the key of "north" and the tenant's header "south" twice
    Then the client gets status 200
    And the runner received the tenant "north" once and no key

  Scenario Outline: A request without exactly one known key is refused with 401
    Given a gateway with tenants "north" and "south"
    When a client sends a request with the authorization <authorization>
    Then the client gets status <status>
    And no runner received anything

    Examples:
      | authorization                      | status |
      | none                               | 401    |
      | "Bearer key-of-north"              | 401    |
      | "Token"                            | 401    |
      | "Token key-of-north key-of-south"  | 401    |
      | "Token key-of-nobody"              | 401    |
      | twice "Token key-of-north"         | 401    |
      | 3000 characters                    | 401    |

  Scenario: The case of the scheme and additional spaces don't matter
    Given a gateway with tenants "north" and "south"
    When a client sends a request with the authorization "token   key-of-north "
    Then the client gets status 200

  Scenario: A public route needs no key and forwards none
    Given a gateway with tenants "north" and "south"
    When a client sends a request to the public route with the key of "north" and the tenant's header "south"
    Then the client gets status 200
    And the runner received no tenant and no key

  Scenario: An unknown key is not answered with 401 while the configuration may be outdated
    Given a gateway with tenants "north" and "south"
    And the configuration is not proved to be the newest
    When a client sends a request with the authorization "Token key-of-nobody"
    Then the client gets 503 with a time to retry

  Scenario: Without a recent enough proof no key is accepted, and clients are sent to gateways that have one
    Given a gateway with tenants "north" and "south"
    And its keys are not proved to be valid, but those of another gateway are
    When a client sends a request with the authorization "Token key-of-north"
    Then the client gets 503 with a time to retry
    And the gateway says that it is not ready
    When a client sends a request to the public route with the key of "north" and the tenant's header "south"
    Then the client gets status 200

  Scenario: A key that is revoked while the request is being sent is not accepted
    Given a gateway with tenants "north" and "south"
    When the key of "north" is revoked while a client sends the body of its request
    Then the client gets status 401
    And no runner received anything

  Scenario: The stored turns of another tenant are not accessible
    Given a gateway with tenants "north" and "south"
    When "north" stores a turn
    Then "north" can continue that turn
    And "south" is told that there is no such turn

  Scenario: Requests above a limit are refused with the time until the quota allows another one
    Given a gateway with tenants "north" and "south" of which "north" may send 5 requests a second and 5 at once
    When 20 requests with the key of "north" and 8 with the key of "south" are sent
    Then between 8 and 9 of "north" and all of "south" are answered
    And the others were refused with 429 and a retry within two seconds

  # Guards against a configuration that is refused as a whole for a mistake in one tenant: keys taken away stayed valid.
  Scenario Outline: A tenant with a mistake is served nothing, others are, and the mistake is named without a key
    Given a configuration with <mistake>, and the tenant "west" without one
    Then requests of "north" are refused as not run, and those of "west" are served
    And the problem "<named>" is reported, and no key

    Examples:
      | mistake              | named                                           |
      | a name twice         | tenant north is defined more than once          |
      | a key of two tenants | also belongs to another tenant                  |
      | a negative rate      | the rate must be a finite number of at least 0  |
      | an endless burst     | the burst must be a finite number of at least 0 |
      | an empty name        | has no name                                     |

  Scenario: No gateway takes its configuration for newer than it is, whatever is frozen or late
    Then in any exchange with late, lost and repeated messages between freezing gateways no proof looks too new
    And a proof that is dated to the receipt of its answer is detected

  Scenario: An answer to a question of an earlier process run proves nothing
    Then a restarted gateway ignores answers to its earlier questions and accepts those to its new ones

  Scenario: A proof of a newer configuration counts once that has come
    Then a gateway that lacks the newest configuration has no proof of it until it applies it

  Scenario: Members together give out a tenant's rate and no more
    Then in any run of requests no window holds more than its limit at five members
    And a tenant that stays beneath its limit is refused nothing at five members

  Scenario Outline: Programs of a tenant that stays beneath its limit are admitted, even where few programs start together
    Then of a tenant whose programs use 0.62 of a limit of <limit> a second fewer than <most> in 100 requests are refused

    Examples:
      | limit | most |
      | 3     | 2    |
      | 10    | 2    |
      | 60    | 1    |
      | 228   | 1    |

  Scenario: Requests of programs under way go before new programs
    Then of a tenant that sends four times its limit more than nine tenths of the requests under way are granted

  Scenario: A request of a program in progress is held rather than refused if the quota soon allows it
    Then of a tenant at nine tenths of its limit fewer requests under way are refused when they may be held

  Scenario Outline: Quotas while replicas are cut off and die
    Given 5 replicas that are members
    When a tenant with a limit of 100 a second sends <rate> a second through 6 gateways for 20 seconds while <trouble>
    Then no window holds more than its limit
    And at least <least> in 100 of the requests within its limit are granted

    Examples:
      | rate | trouble                                        | least |
      | 60   | nothing is amiss                               | 99    |
      | 400  | nothing is amiss                               | 95    |
      | 400  | two members are cut off from the others        | 50    |
      | 400  | half of the gateways reach just two members    | 80    |
      | 60   | a member dies and another machine takes its place | 90 |
      | 400  | a member dies and another machine takes its place | 70 |
