Feature: Parts of a configuration
  An operator's configuration is applied part by part. What can't be applied is refused alone; nothing goes on by an older rule.

  # Guards against a version that is refused as a whole for one combination: a key taken away stayed valid, an added one got 401.
  Scenario Outline: A version that limits a tenant's regions takes keys away and adds keys, whatever becomes of its kept turns
    Given a gateway in "<regions>" with a version in which "glen" has the keys "stays" and "taken"
    When a version arrives in which "glen" has the keys "stays" and "added" and allows the regions "north"
    Then requests get these statuses
      | key   | route      | status |
      | taken | repeatable | 401    |
      | added | repeatable | 200    |
      | stays | repeatable | 200    |
      | taken | kept       | 401    |
      | added | kept       | <kept> |
    And the newest version counts as in force

    Examples:
      | regions     | kept |
      | north       | 200  |
      | north south | 503  |

  # Guards against a mistake in one part that keeps the others, or the whole version, from being applied.
  Scenario Outline: A mistake in one part is refused alone
    Given a gateway in "north" with a version in which "glen" has the keys "stays" and "taken"
    When a version arrives in which "glen" has the keys "stays" and "added", with the mistake "<mistake>"
    Then requests get these statuses
      | key   | route      | status   |
      | taken | repeatable | <taken>  |
      | added | repeatable | 200      |
      | added | single     | <single> |
      | other | repeatable | <other>  |
      | added | unknown    | <route>  |
    And the newest version counts as in force
    And the log names the part "<named>" and no key

    Examples:
      | mistake                     | taken | single | other | route | named                   |
      | route with a text as time   | 401   | 503    | 200   | 404   | route 2: invalid Time   |
      | route without a host        | 401   | 503    | 200   | 503   | route 2: invalid Host   |
      | tenant with a negative rate | 401   | 200    | 503   | 404   | the rate must be        |
      | tenant with a number as key | 503   | 200    | 503   | 404   | tenant 2: invalid ApiK  |
      | tenant without keys         | 503   | 200    | 503   | 404   | tenant 2: invalid ApiK  |
      | service that is a text      | 401   | 200    | 200   | 404   | service 2: expected     |
      | endless idle time           | 401   | 200    | 200   | 404   | limit IdleTimeoutMs     |

  # Guards against keys that count as fresh since the version that takes them away was read, though it is not in force.
  Scenario Outline: A version that can't be applied proves nothing about the keys of the one before
    Given a gateway that follows the store and has applied version 7
    When <seconds> seconds pass after the store has "<version>"
    Then its proof is <age> as the time since then
    And the newest version counts as <state>
    When a version 12 arrives that can be applied
    Then its proof is fresh, and the newest version counts as in force

    Examples:
      | version                 | seconds | age       | state    |
      | a version 11            | 8       | fresh     | in force |
      | text that is no JSON    | 8       | as old    | refused  |
      | no version              | 8       | as old    | refused  |
      | an older version 5      | 8       | as old    | refused  |

  # Guards against forms that the store accepts and gateways refuse.
  Scenario: Every configuration of the documented form is applied without a problem
    Then any configuration of the documented form has all its routes, services, tenants and keys in force

  # Guards against parts that are lost, or kept from an older version, by mistakes in others.
  Scenario: Mistakes in some parts leave the others in force
    Then in any configuration with random values in some parts, the other routes and keys are in force, and no key is reported
