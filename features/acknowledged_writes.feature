@processes
Feature: Acknowledged writes stay
  No acknowledged write is lost and none is acknowledged by a replaced primary.

  Scenario Outline: Acknowledged writes stay during <fault>
    Given callers write, read and move between daemons
    When the fault "<fault>" comes and goes
    Then no acknowledged write is missing
    And no other promise was broken

    Examples:
      | fault |
      | primary killed |
      | primary frozen |
      | primary cut from replicas |
      | replicas slow + primary killed |
      | platform down + primary killed |
      | owner killed + primary killed |
      | platform answers lost + primary frozen |
