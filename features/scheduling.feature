Feature: Scheduling decisions and group budgets
  Scenario: Urgent calls run first, and a group with many calls does not starve the others
    Given a pool of 2 engines that take 4 calls each
    When group "teranga" enqueues 40 calls, group "brandvold" 8 and "teranga" 1 urgent one
    Then the urgent call starts first
    And among the first 12 others "brandvold" has at least 5

  Scenario: Groups are served in proportion to their shares
    Given a pool of 1 engines that take 1 calls each
    And group "brandvold" has share 3
    When each of 400 calls ends before the next starts and both groups always have a call waiting
    Then "brandvold" was served 3 times as often as "teranga", within a tenth

  Scenario: A turn returns to the engine that has its prompt cached
    Given a pool of 4 engines that take 4 calls each
    And engine "e2" has 5000 tokens of program "p" cached
    When program "p" enqueues a call of 5200 tokens
    Then it starts on engine "e2"

  Scenario: A turn moves to another engine if waiting costs more than recomputing its prompt
    Given a pool of 2 engines that take 4 calls each
    And engine "e1" has 300 tokens of program "p" cached
    And engine "e1" runs 4 calls
    When program "p" enqueues a call of 400 tokens
    Then it starts on engine "e0"

  Scenario: A new program does not evict prompts held for programs between turns
    Given a pool of 1 engines that take 4 calls each
    And engine "e0" runs 1 calls
    And engine "e0" holds prompts in all but 1000 tokens of its cache
    When program "new" enqueues a call of 4000 tokens
    Then nothing starts

  Scenario: Prompts are held over short pauses but not for programs that never return
    Then if half of the programs return within a second and half never, prompts are held about a second
    And if no program returns, prompts are not held

  Scenario: The cost model converges to the true costs
    Then the cost model estimates 0.1 ms per prompt token and 9 ms per generated token from 500 calls

  Scenario: Slices never exceed the budget
    Then no sequence of grants, duplicates, reservations and returns exceeds the budget
