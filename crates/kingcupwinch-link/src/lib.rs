//! Message links between the instances of one failure domain.
