Feature: Replicas on disk
  Scenario: A replica comes back as it was written
    Given a data folder with a replica of 5 entries in term 3 voted for "b"
    When the folder is opened again
    Then the replica has term 3, vote "b", 5 entries and its voters
    And no tail is torn

  Scenario: A rewritten tail and a snapshot come back
    Given a data folder with a replica of 5 entries in term 3 voted for "b"
    And entries from 4 on are replaced by 1 entry of term 4
    And a snapshot covers the first 2 entries
    When the folder is opened again
    Then the replica has entries of terms "3,4" after index 2
    And no tail is torn

  Scenario: A torn tail is detected
    Given a data folder with a replica of 5 entries in term 3 voted for "b"
    And entry 4 is damaged
    When the folder is opened again
    Then the replica has entries of terms "3,3,3" after index 0
    And its tail is torn

  Scenario: Directory entries of the database's files are durable before anything in them is acknowledged
    Given a data folder whose syncs are recorded, with a replica of 5 entries in term 3 voted for "b"
    Then the data folder and the database folder were synced before the replica was acknowledged
    When a snapshot covers the first 2 entries
    Then the database folder was synced once more
