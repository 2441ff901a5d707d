Feature: The object that a request concerns is read from its cookies

  Scenario Outline: the cookies <cookies> name the object "<key>"
    Then the cookies <cookies> name the object "<key>"

    Examples:
      | cookies                            | key |
      | X-Affinity-Key=17                  | 17  |
      | a=b; X-Affinity-Key=17; c=d        | 17  |
      | a=b;X-Affinity-Key = 17 ;c         | 17  |
      | X-Affinity-Key="17"                | 17  |
      | a; X-Affinity-Key; =b; X-Other=17  |     |
      | not-X-Affinity-Key=17              |     |

  # Escapes in a quoted value cost a quarter of a second of processor time a request.
  Scenario: a cookie full of escapes takes a time in proportion to its length
    Then a cookie with 8000 escapes takes at most 16 times as long as one with 1000
