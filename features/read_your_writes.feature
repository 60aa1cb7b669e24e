@processes
Feature: Read your writes
  A session sees its acknowledged writes on every daemon, with and without its token.

  Scenario Outline: Reads see the writes of their session during <fault>
    Given callers write, read and move between daemons
    When the fault "<fault>" comes and goes
    Then no read missed a write of its own session
    And no other promise was broken

    Examples:
      | fault |
      | none |
      | replicas apply late |
      | replica paused |
      | primary cut from replicas |
      | replica paused + primary killed |
      | owner frozen |
      | owner frozen + primary frozen |
