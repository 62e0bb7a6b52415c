use quick_error::quick_error;

quick_error! {
    /// Why bytes from outside are not a valid message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not a protocol buffer of the expected type.
        Malformed(source: prost::DecodeError) {
            from()
            source(source)
            display("malformed protocol buffer: {source}")
        }
        /// A message is larger than its bound.
        TooLarge(size: usize, bound: usize) {
            display("message of {size} bytes exceeds the bound of {bound}")
        }
        /// A field that must be set is missing.
        Missing(field: &'static str) {
            display("field {field} is missing")
        }
        /// A field's value is outside its range.
        OutOfRange(field: &'static str) {
            display("field {field} is out of range")
        }
        /// An id is not the 16 bytes of a UUID.
        BadId(field: &'static str) {
            display("field {field} is not a UUID")
        }
    }
}
