Feature: Lists of the platform's store
  Scenario: A stale list of several pages is as old as its oldest page
    Given a store that answers a list in pages at revisions "90 70 80"
    When the stale list is read
    Then the list has the items of 3 pages and revision 70

  Scenario: A list that can't be decoded is refused
    Given a store that answers lists with "<html>"
    When the stale list is read
    Then the list is refused
