@processes
Feature: Complete answers
  Each caller receives the answer to its own request, also when answers arrive late.

  Scenario Outline: Answers belong to their requests during <fault>
    Given callers write and read without transactions
    When the fault "<fault>" comes and goes
    Then every answer belongs to its request
    And no other promise was broken

    Examples:
      | fault                            |
      | statements slower than deadlines |
      | owner frozen                     |
      | entry frozen                     |
      | owner frozen + primary frozen    |
