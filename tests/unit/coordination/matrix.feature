Feature: Each fault at each step of coordination
  Five VMs in three regions under load. Invariants, checked after every step of time: no VM acts on a
  head older than one in force, the shares of a rate add up to at most one, and the slots held by
  grants don't exceed those of the backend server. Finally all VMs must be seated and act, and the
  outcome reported to the operator must be true.

  Scenario Outline: <step> while <fault>
    When "<fault>" occurs at each moment of "<step>"
    Then no invariant is violated

    @shard1
    Examples: apply
      | step | fault |
      | apply | VM killed |
      | apply | VM frozen briefly |
      | apply | VM frozen past its lease |
      | apply | region cut |
      | apply | region cut with the store |
      | apply | one-way cut |
      | apply | store down |
      | apply | store slow |
      | apply | store answer lost |
      | apply | messages lost |
      | apply | messages repeated |
      | apply | messages reordered |
      | apply | connection silent |
      | apply | VM restarted |
      | apply | operators racing |

    @shard2
    Examples: grant
      | step | fault |
      | grant | VM killed |
      | grant | VM frozen briefly |
      | grant | VM frozen past its lease |
      | grant | region cut |
      | grant | region cut with the store |
      | grant | one-way cut |
      | grant | store down |
      | grant | store slow |
      | grant | store answer lost |
      | grant | messages lost |
      | grant | messages repeated |
      | grant | messages reordered |
      | grant | connection silent |
      | grant | VM restarted |
      | grant | operators racing |

    @shard3
    Examples: withdraw
      | step | fault |
      | withdraw | VM killed |
      | withdraw | VM frozen briefly |
      | withdraw | VM frozen past its lease |
      | withdraw | region cut |
      | withdraw | region cut with the store |
      | withdraw | one-way cut |
      | withdraw | store down |
      | withdraw | store slow |
      | withdraw | store answer lost |
      | withdraw | messages lost |
      | withdraw | messages repeated |
      | withdraw | messages reordered |
      | withdraw | connection silent |
      | withdraw | VM restarted |
      | withdraw | operators racing |

    @shard4
    Examples: seat takeover
      | step | fault |
      | seat takeover | VM killed |
      | seat takeover | VM frozen briefly |
      | seat takeover | VM frozen past its lease |
      | seat takeover | region cut |
      | seat takeover | region cut with the store |
      | seat takeover | one-way cut |
      | seat takeover | store down |
      | seat takeover | store slow |
      | seat takeover | store answer lost |
      | seat takeover | messages lost |
      | seat takeover | messages repeated |
      | seat takeover | messages reordered |
      | seat takeover | connection silent |
      | seat takeover | VM restarted |
      | seat takeover | operators racing |

    @shard5
    Examples: token move
      | step | fault |
      | token move | VM killed |
      | token move | VM frozen briefly |
      | token move | VM frozen past its lease |
      | token move | region cut |
      | token move | region cut with the store |
      | token move | one-way cut |
      | token move | store down |
      | token move | store slow |
      | token move | store answer lost |
      | token move | messages lost |
      | token move | messages repeated |
      | token move | messages reordered |
      | token move | connection silent |
      | token move | VM restarted |
      | token move | operators racing |

    @shard6
    Examples: renewal
      | step | fault |
      | renewal | VM killed |
      | renewal | VM frozen briefly |
      | renewal | VM frozen past its lease |
      | renewal | region cut |
      | renewal | region cut with the store |
      | renewal | one-way cut |
      | renewal | store down |
      | renewal | store slow |
      | renewal | store answer lost |
      | renewal | messages lost |
      | renewal | messages repeated |
      | renewal | messages reordered |
      | renewal | connection silent |
      | renewal | VM restarted |
      | renewal | operators racing |

    @shard7
    Examples: graceful hand-over
      | step | fault |
      | graceful hand-over | VM killed |
      | graceful hand-over | VM frozen briefly |
      | graceful hand-over | VM frozen past its lease |
      | graceful hand-over | region cut |
      | graceful hand-over | region cut with the store |
      | graceful hand-over | one-way cut |
      | graceful hand-over | store down |
      | graceful hand-over | store slow |
      | graceful hand-over | store answer lost |
      | graceful hand-over | messages lost |
      | graceful hand-over | messages repeated |
      | graceful hand-over | messages reordered |
      | graceful hand-over | connection silent |
      | graceful hand-over | VM restarted |
      | graceful hand-over | operators racing |

  Scenario Outline: <step> while <fault> and <other>
    When "<fault>" and "<other>" occur together at each moment of "<step>"
    Then no invariant is violated

    @shard8
    Examples:
      | step | fault | other |
      | grant | store down | VM frozen past its lease |
      | withdraw | region cut | store answer lost |
      | withdraw | one-way cut | store slow |
      | seat takeover | store slow | messages lost |
      | token move | messages reordered | messages repeated |
      | apply | operators racing | store answer lost |
      | graceful hand-over | region cut with the store | VM restarted |
      | renewal | store down | region cut |
      | grant | VM restarted | messages lost |
      | seat takeover | VM killed | store down |
