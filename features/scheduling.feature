Feature: What runs next, where, and what is kept
  Scenario: Urgent calls go before others, and a greedy group does not starve the rest
    Given a pool of 2 engines that take 4 calls each
    When group "teranga" enqueues 40 calls, group "brandvold" 8 and "teranga" 1 urgent one
    Then the urgent call starts first
    And among the first 12 others "brandvold" has at least 5

  Scenario: Shares are kept
    Given a pool of 1 engines that take 1 calls each
    And group "brandvold" has share 3
    When each of 400 calls ends before the next starts, both groups always waiting
    Then "brandvold" was served 3 times as often as "teranga", within a tenth

  Scenario: A turn goes back to the engine that holds its prompt
    Given a pool of 4 engines that take 4 calls each
    And engine "e2" holds 5000 tokens of program "p"
    When program "p" enqueues a call of 5200 tokens
    Then it starts on engine "e2"

  Scenario: A turn leaves its engine when that is full for long
    Given a pool of 2 engines that take 4 calls each
    And engine "e1" holds 300 tokens of program "p"
    And engine "e1" runs 4 calls
    When program "p" enqueues a call of 400 tokens
    Then it starts on engine "e0"

  Scenario: A newcomer does not push out what pausing programs hold
    Given a pool of 1 engines that take 4 calls each
    And engine "e0" runs 1 calls
    And engine "e0" holds memory up to its last 1000 tokens
    When program "new" enqueues a call of 4000 tokens
    Then nothing starts

  Scenario: Memory is held over short pauses and not for programs that do not return
    Then where half return within a second and half never, memory is held about a second
    And a program that never returns is not held

  Scenario: Learned costs come near the true ones
    Then the cost model finds 0.1 ms a prompt token and 9 ms a generated one from 500 calls

  Scenario: Budgets by slices
    Then in any order of grants, repeats, reservations and returns no budget is exceeded
