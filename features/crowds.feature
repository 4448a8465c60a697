Feature: Crowds of clients that do not stay inside the limits
  No process ends or hangs, each stays within its memory and its descriptors, and an ordinary client is answered once the
  crowd has gone. The scenarios start processes on loopback addresses, with limits so low that small crowds come to them.

  # Guards against a limit that a client inside the limits meets.
  Scenario Outline: A body of the largest size in chunks of <bytes> bytes is served in calm
    Given a gateway and replicas with little memory
    Then a request of the largest size in chunks of <bytes> bytes is served whole
    And all processes live, within the memory and the descriptors of their settings

    Examples:
      | bytes |
      | 64    |
      | 1024  |

  # Guards against a limit that the longest head meets.
  Scenario: The longest head is served in calm
    Given a gateway and replicas with little memory
    Then a request with the longest head is served
    And all processes live, within the memory and the descriptors of their settings

  # Guards against requests that take more heap than the process has, since all of one read are held at once.
  Scenario: Requests sent ahead to a plain route end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to a plain route
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where each request waits for the replicas to prepare it.
  Scenario: Requests sent ahead to a route without repetition end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to a route without repetition
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where each answer is a stream.
  Scenario: Requests sent ahead to a streamed route end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to a streamed route
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where the replicas are told of each stream.
  Scenario: Requests sent ahead to a resumable route end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to a resumable route
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where each turn is kept, at the gateway and at the replicas.
  Scenario: Requests sent ahead to a kept route end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to a kept route
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against refusals with 404 that pile up unread.
  Scenario: Requests sent ahead to no route end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead to no route
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against refusals with 401 that pile up unread, and against state for each key that is not known.
  Scenario: Requests sent ahead with unknown keys end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead with unknown keys
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against bodies that are read on beyond the memory while their end is missing.
  Scenario: Unfinished bodies in large chunks stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in large chunks
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where each chunk takes heap beside its bytes.
  Scenario: Unfinished bodies in chunks of 1 KiB stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 1 KiB
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against what follows a refusal being held.
  Scenario: Bodies beyond the largest size stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies beyond the limit
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against a process that works through chunks long after their senders have gone.
  Scenario: Bodies in chunks of 1 byte hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 1 byte
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where a bound on the bytes around the content is met later.
  Scenario: Bodies in chunks of 3 bytes hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 3 bytes
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same with bodies whose bytes around the content are allowed.
  Scenario: Bodies in chunks of 4 bytes hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 4 bytes
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against a bound on each connection that many connections get round.
  Scenario: Many short bodies in chunks of 1 byte hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: short bodies in chunks of 1 byte
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against connections of clients that take all descriptors of the process.
  Scenario: Idle connections leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: idle connections
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same with heads that never end, and against their memory.
  Scenario: Connections with a partial head leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: connections with a partial head
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same while connections come and go.
  Scenario: Connections of which some leave early leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: connections of which some leave early
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against a listener that does not recover from a connection that could not be accepted.
  Scenario: A gateway without descriptors serves again once idle connections have gone
    Given a gateway that the system lets open 300 files
    When a crowd comes and leaves: idle connections
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where the connections are closed by the time limit of their heads.
  Scenario: A gateway without descriptors serves again once partial heads have gone
    Given a gateway that the system lets open 300 files
    When a crowd comes and leaves: connections with a partial head
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against answers that are gathered whole for clients that read nothing.
  Scenario: Large plain answers that nobody reads stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: large plain answers unread
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against streams that are read from their runners on and on for clients that read nothing.
  Scenario: Large streams that nobody reads stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: large streams unread
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where streams are read to their ends to be kept.
  Scenario: Large kept streams that nobody reads stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: large kept streams unread
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against replicas that take turns to be kept beyond their memory.
  Scenario: More kept turns than fit the memory end no replica
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: more kept turns than fit the memory of a replica
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against bounds that hold for each form alone.
  Scenario: All forms of crowds at once end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: all forms mixed
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against answers of the metrics that pile up unread.
  Scenario: Requests sent ahead for metrics end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead for metrics
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against answers of the readiness check that pile up unread.
  Scenario: Requests sent ahead for readiness end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead for readiness
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against snapshots for other gateways that pile up unread.
  Scenario: Requests sent ahead for the exchange end no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: requests ahead for the exchange
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against bodies that nobody needs taking all processor time, where metrics are served.
  Scenario: Bodies in chunks of 1 byte for metrics hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 1 byte for metrics
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where readiness is checked.
  Scenario: Bodies in chunks of 1 byte for readiness hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 1 byte for readiness
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same where gateways exchange snapshots.
  Scenario: Bodies in chunks of 1 byte for the exchange hang no process
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: bodies in chunks of 1 byte for the exchange
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the listener of the metrics taking the descriptors of clients.
  Scenario: Idle connections for metrics leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: idle connections for metrics
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same at the listener of the readiness check.
  Scenario: Idle connections for readiness leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: idle connections for readiness
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against the same at the listener of the exchange.
  Scenario: Idle connections for the exchange leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: idle connections for the exchange
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against connections that take all descriptors of a replica.
  Scenario: Idle connections at a replica leave descriptors free
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: idle connections at a replica
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings

  # Guards against messages that are held without a bound while their end is missing.
  Scenario: Unfinished frames at a replica stay within the memory
    Given a gateway and replicas with little memory
    When a crowd comes and leaves: unfinished frames at a replica
    Then an ordinary request is answered
    And all processes live, within the memory and the descriptors of their settings
