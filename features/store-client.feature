Feature: Lists of the platform's store
  Scenario: A stale list of several pages is as old as its oldest page
    Given a store that answers a list in pages at revisions "90 70 80"
    When the stale list is read
    Then the list has the items of 3 pages and revision 70

  Scenario: A list that can't be decoded is refused
    Given a store that answers lists with "<html>"
    When the stale list is read
    Then the list is refused

  # Guards against an item without a key or a value, which threw in an event handler and ended the gateway.
  Scenario Outline: A list with a malformed item is refused
    Given a store that answers lists with <body>
    When the stale list is read
    Then the list is refused

    Examples:
      | body                                                           |
      | '{"items":[{"Value":"dg==","Revision":1}],"At":5}'             |
      | '{"items":[{"Key":"k","Value":7,"Revision":1}],"At":5}'        |
      | '{"items":[{"Key":"k","Value":"dg==","Revision":"1"}],"At":5}' |
      | '{"items":[null],"At":5}'                                      |
      | '{"items":{},"At":5}'                                          |
      | 'null'                                                         |
