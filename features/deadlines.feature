@processes
Feature: Deadlines
  Every request receives its final answer by its deadline, and a refusal tells when to come back.

  Scenario Outline: Requests are answered in time during <fault>
    Given callers write and read without transactions
    When the fault "<fault>" comes and goes
    Then every request was answered by its deadline of 2 s plus 0.7 s
    And every refusal that invites a retry tells when
    And no other promise was broken

    Examples:
      | fault                                   |
      | primary frozen                          |
      | owner frozen                            |
      | primary cut from clients + owner killed |
      | platform down + replicas paused         |

  Scenario: A write that cannot get a majority is refused long before its deadline
    Given callers write and read without transactions
    When the fault "replicas paused" comes
    Then a write with a deadline of 2 s is refused within 1 s on every daemon
    When the installation recovers
    Then no other promise was broken
