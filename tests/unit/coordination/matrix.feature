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
      | apply | two-way cut |
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
      | grant | two-way cut |
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
      | withdraw | two-way cut |
      | withdraw | VM restarted |
      | withdraw | operators racing |

    @shard4
    Examples: seat removal
      | step | fault |
      | seat removal | VM killed |
      | seat removal | VM frozen briefly |
      | seat removal | VM frozen past its lease |
      | seat removal | region cut |
      | seat removal | region cut with the store |
      | seat removal | one-way cut |
      | seat removal | store down |
      | seat removal | store slow |
      | seat removal | store answer lost |
      | seat removal | messages lost |
      | seat removal | messages repeated |
      | seat removal | messages reordered |
      | seat removal | two-way cut |
      | seat removal | VM restarted |
      | seat removal | operators racing |

    @shard5
    Examples: share loan
      | step | fault |
      | share loan | VM killed |
      | share loan | VM frozen briefly |
      | share loan | VM frozen past its lease |
      | share loan | region cut |
      | share loan | region cut with the store |
      | share loan | one-way cut |
      | share loan | store down |
      | share loan | store slow |
      | share loan | store answer lost |
      | share loan | messages lost |
      | share loan | messages repeated |
      | share loan | messages reordered |
      | share loan | two-way cut |
      | share loan | VM restarted |
      | share loan | operators racing |

    @shard6
    Examples: lease renewal
      | step | fault |
      | lease renewal | VM killed |
      | lease renewal | VM frozen briefly |
      | lease renewal | VM frozen past its lease |
      | lease renewal | region cut |
      | lease renewal | region cut with the store |
      | lease renewal | one-way cut |
      | lease renewal | store down |
      | lease renewal | store slow |
      | lease renewal | store answer lost |
      | lease renewal | messages lost |
      | lease renewal | messages repeated |
      | lease renewal | messages reordered |
      | lease renewal | two-way cut |
      | lease renewal | VM restarted |
      | lease renewal | operators racing |

    @shard7
    Examples: graceful stop
      | step | fault |
      | graceful stop | VM killed |
      | graceful stop | VM frozen briefly |
      | graceful stop | VM frozen past its lease |
      | graceful stop | region cut |
      | graceful stop | region cut with the store |
      | graceful stop | one-way cut |
      | graceful stop | store down |
      | graceful stop | store slow |
      | graceful stop | store answer lost |
      | graceful stop | messages lost |
      | graceful stop | messages repeated |
      | graceful stop | messages reordered |
      | graceful stop | two-way cut |
      | graceful stop | VM restarted |
      | graceful stop | operators racing |

  Scenario Outline: <step> while <fault> and <other>
    When "<fault>" and "<other>" occur together at each moment of "<step>"
    Then no invariant is violated

    @shard8
    Examples:
      | step | fault | other |
      | grant | store down | VM frozen past its lease |
      | withdraw | region cut | store answer lost |
      | withdraw | one-way cut | store slow |
      | seat removal | store slow | messages lost |
      | share loan | messages reordered | messages repeated |
      | apply | operators racing | store answer lost |
      | graceful stop | region cut with the store | VM restarted |
      | lease renewal | store down | region cut |
      | grant | VM restarted | messages lost |
      | seat removal | VM killed | store down |
