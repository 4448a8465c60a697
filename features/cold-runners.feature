Feature: Cold runners
  Scenario: A runner is cold for the time that its entry states, counted from the receipt of the entry
    Given a gateway that knows a runner with a cached prompt
    When its entry of revision 2 reports 4000 ms of cold time
    Then the runner is cold with an empty cache, and one log line reports it
    When 3999 ms pass
    Then the runner is cold
    When 1 ms passes
    Then the runner is warm, and one log line reports it

  Scenario: A repeated or older entry neither extends nor ends a cold period
    Given a gateway that knows a runner with a cached prompt
    When its entry of revision 2 reports 4000 ms of cold time
    And 3000 ms pass
    And its entry of revision 2 reports 4000 ms of cold time
    And its entry of revision 1 reports 0 ms of cold time
    Then the runner is cold
    When 1000 ms pass
    Then the runner is warm, and one log line reports it

  Scenario: A rewritten entry determines the end of the cold period
    Given a gateway that knows a runner with a cached prompt
    When its entry of revision 2 reports 4000 ms of cold time
    And 3000 ms pass
    And its entry of revision 3 reports 2000 ms of cold time
    And 1999 ms pass
    Then the runner is cold
    When 1 ms passes
    Then the runner is warm, and one log line reports it
    When its entry of revision 4 reports 4000 ms of cold time
    Then the runner is cold
    When its entry of revision 5 reports 0 ms of cold time
    Then the runner is warm

  Scenario: A runner that leaves the list and returns during its cold period is still cold
    Given a gateway that knows a runner with a cached prompt
    When its entry of revision 2 reports 6000 ms of cold time
    And the runner leaves the list for 3000 ms
    And its entry of revision 2 reports 6000 ms of cold time
    Then the runner is cold
    When 3000 ms pass
    Then the runner is warm

  Scenario: Cached prompts reported before the cache was lost are ignored, and refreshed cold times keep later ones
    Given a gateway that knows a runner with a cached prompt
    When its entry of revision 2 reports 6000 ms of cold time
    And a peer reports the cached prompt
    Then the runner is cold with an empty cache, and one log line reports it
    When 1000 ms pass
    And a peer reports the cached prompt
    And its entry of revision 3 reports 5100 ms of cold time
    Then the prompt is cached there

  Scenario Outline: An invalid cold time causes one log line and has no other effect
    Given a gateway that knows a runner with a cached prompt
    When its entry reports the invalid cold time <time> three times
    Then the runner is in use and warm with its cached prompt, and one log line reports the value

    Examples:
      | time  |
      | -5    |
      | 1e12  |
      | "12"  |
      | null  |
      | [1]   |
